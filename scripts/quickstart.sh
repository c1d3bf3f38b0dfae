#!/usr/bin/env bash
# Installs, builds, starts a small fleet on loopback, sends a streamed chat request and a pickup
# booking, prints both answers and stops everything. With --keep it leaves the fleet running.
set -euo pipefail
cd "$(dirname "$0")/.."

keep=no
[ "${1:-}" = --keep ] && keep=yes
scripts/build.sh >/dev/null
binary=$PWD/build/lovagecourse
standins=$PWD/build/lovagecourse-standins
work=$(mktemp -d)
pids=()

stop_all() {
    [ ${#pids[@]} -eq 0 ] || kill -TERM "${pids[@]}" 2>/dev/null || true
    [ ${#pids[@]} -eq 0 ] || wait "${pids[@]}" 2>/dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT

run() { # name, command...
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids+=($!)
}

wait_for() { # description, command...
    local what=$1
    shift
    for _ in $(seq 100); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    echo "quickstart: timed out waiting for $what" >&2
    tail -n 5 "$work"/*.log >&2
    exit 1
}

digest() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

# UUID version 7: 48 bits of milliseconds since the epoch, then random bits.
uuid7() {
    local time random
    time=$(printf '%012x' "$(date +%s%3N)")
    random=$(od -An -N10 -tx1 /dev/urandom | tr -d ' \n')
    printf '%s-%s-7%s-8%s-%s' "${time:0:8}" "${time:8:4}" "${random:0:3}" "${random:3:3}" "${random:6:12}"
}

daemon_settings() { # name, port for links or callers, further lines
    cat <<TOML
name = "$1"
host = "host-$1"
data_centre = "dc-1"
fleet_key = "quickstart fleet key, not secret"
platform = "http://127.0.0.1:18000"
admin = "127.0.0.1:$(($2 + 100))"
datagrams = "127.0.0.1:$(($2 + 200))"
peers = ["127.0.0.1:18210", "127.0.0.1:18211"]
TOML
    printf '%s\n' "${@:3}"
}

run platform "$standins" platform --listen 127.0.0.1:18000
run engine-1 "$standins" engine --listen 127.0.0.1:18001
run engine-2 "$standins" engine --listen 127.0.0.1:18002
run desk-1 "$standins" desk --listen 127.0.0.1:18003
wait_for "the platform stand-in" curl -sf http://127.0.0.1:18000/hosts

for entry in 1 2; do
    port=$((18009 + entry))
    daemon_settings "entry-$entry" $port "callers = \"127.0.0.1:$port\"" >"$work/entry-$entry.toml"
    run "entry-$entry" "$binary" entry --settings "$work/entry-$entry.toml"
done
agent=0
for server in engine-1 engine-2 desk-1; do
    agent=$((agent + 1))
    port=$((18020 + agent))
    daemon_settings "agent-$server" $port "links = \"127.0.0.1:$port\"" "server = \"$server\"" \
        >"$work/agent-$server.toml"
    run "agent-$server" "$binary" agent --settings "$work/agent-$server.toml"
done

cat >"$work/first-note.toml" <<TOML
follows = 0
title = "first servers and accounts"

[[added.accounts]]
name = "retailer"
share = 3.0
keys = ["$(digest retailer-key)"]

[[added.accounts]]
name = "sleepers"
share = 1.0
keys = ["$(digest sleepers-key)"]

[[added.services]]
name = "chat"
path = "/v1/chat/completions"
kind = "model"
repeatable = true

[[added.services]]
name = "bookings"
path = "/bookings"
kind = "plain"
repeatable = false

[[added.servers]]
name = "engine-1"
host = "host-1"
address = "127.0.0.1:18001"
agent = "127.0.0.1:18021"
data_centre = "dc-1"
services = ["chat"]
models = ["sleep-small"]

[[added.servers]]
name = "engine-2"
host = "host-2"
address = "127.0.0.1:18002"
agent = "127.0.0.1:18022"
data_centre = "dc-1"
services = ["chat"]
models = ["sleep-small"]

[[added.servers]]
name = "desk-1"
host = "host-3"
address = "127.0.0.1:18003"
agent = "127.0.0.1:18023"
data_centre = "dc-1"
services = ["bookings"]
models = []
TOML
"$binary" note submit "$work/first-note.toml" --platform http://127.0.0.1:18000
wait_for "entry 1" curl -sf http://127.0.0.1:18010/readyz
wait_for "entry 2" curl -sf http://127.0.0.1:18011/readyz
linked() { curl -sf "http://127.0.0.1:$1/status" | grep -c '"usable": true' | grep -qx 3; }
wait_for "the agents' links to entry 1" linked 18110
wait_for "the agents' links to entry 2" linked 18111

echo "Streamed chat of account sleepers through entry 1:"
chat=$(curl -sfN http://127.0.0.1:18010/v1/chat/completions -H 'Authorization: Bearer sleepers-key' \
    -H 'Content-Type: application/json' \
    -d '{"model":"sleep-small","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"How did I sleep?"}]}')
echo "$chat"
[ "$(grep -c '^data: ' <<<"$chat")" -ge 6 ] && grep -qx 'data: \[DONE\]' <<<"$chat" \
    || { echo "quickstart: the chat answer is incomplete" >&2; exit 1; }

echo "Pickup booking of account retailer through entry 2:"
key=$(uuid7)
booking=$(curl -sf http://127.0.0.1:18011/bookings -H 'Authorization: Bearer retailer-key' \
    -H "Idempotency-Key: $key" -d '{"pickup":"mattress topper"}')
echo "$booking"
grep -q "$key" <<<"$booking" || { echo "quickstart: the booking answer does not contain its key" >&2; exit 1; }

if [ "$keep" = yes ]; then
    trap - EXIT
    cat <<TEXT

The fleet is running. Callers: http://127.0.0.1:18010 and http://127.0.0.1:18011
Keys: retailer-key, sleepers-key. Settings and logs: $work
  $binary status --admin 127.0.0.1:18110
  $binary note state --platform http://127.0.0.1:18000
Stop it with: kill ${pids[*]}
TEXT
fi
