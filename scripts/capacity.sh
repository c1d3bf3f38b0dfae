#!/usr/bin/env bash
# Measures the cost of control traffic per daemon in a fleet of real processes without callers.
# usage: capacity.sh ENTRIES AGENTS ACCOUNTS [SECONDS]
# Prints one JSON line with the mean CPU share, peak memory and mean bytes sent per second by role.
set -euo pipefail
cd "$(dirname "$0")/.."

entries=$1
agents=$2
accounts=$3
seconds=${4:-10}
binary=$PWD/build/lovagecourse
standins=$PWD/build/lovagecourse-standins
work=$(mktemp -d)
pids=()
stop_all() {
    kill -KILL "${pids[@]}" 2>/dev/null || true
    wait "${pids[@]}" 2>/dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT
trap 'echo "capacity.sh: failed at line $LINENO" >&2' ERR

run() { # name, command...
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids+=($!)
}

# Ports: entries from 24101 on, agents from 25001 on; admin port + 2000, datagram port + 4000.
settings() { # name, port, further lines
    printf 'name = "%s"\nhost = "host-%s"\ndata_centre = "dc-1"\n' "$1" "$1"
    printf 'fleet_key = "key of the capacity fleet"\nplatform = "http://127.0.0.1:24000"\n'
    printf 'admin = "127.0.0.1:%d"\ndatagrams = "127.0.0.1:%d"\n' $(($2 + 2000)) $(($2 + 4000))
    printf 'peers = ["127.0.0.1:28101", "127.0.0.1:28102"]\n'
    printf '%s\n' "${@:3}" '[log]' 'level = "warning"'
}

run platform "$standins" platform --listen 127.0.0.1:24000
run engine "$standins" engine --listen 127.0.0.1:24001
for i in $(seq "$entries"); do
    settings "entry-$i" $((24100 + i)) "callers = \"127.0.0.1:$((24100 + i))\"" >"$work/entry-$i.toml"
    run "entry-$i" "$binary" entry --settings "$work/entry-$i.toml"
done
for i in $(seq "$agents"); do
    settings "agent-$i" $((25000 + i)) "links = \"127.0.0.1:$((25000 + i))\"" \
        "server = \"server-$i\"" >"$work/agent-$i.toml"
    run "agent-$i" "$binary" agent --settings "$work/agent-$i.toml"
done

{
    printf 'follows = 0\n'
    printf '[[added.services]]\nname = "chat"\npath = "/v1/chat/completions"\nkind = "model"\nrepeatable = true\n'
    for i in $(seq "$agents"); do
        printf '[[added.servers]]\nname = "server-%d"\nhost = "host-agent-%d"\n' "$i" "$i"
        printf 'address = "127.0.0.1:24001"\nagent = "127.0.0.1:%d"\ndata_centre = "dc-1"\n' $((25000 + i))
        printf 'services = ["chat"]\nmodels = ["m"]\n'
    done
} >"$work/note-1.toml"
# A note is limited to 1 MiB, so accounts are added by several notes.
notes=1
for first in $(seq 1 5000 "$accounts"); do
    last=$((first + 4999 < accounts ? first + 4999 : accounts))
    {
        printf 'follows = %d\n' "$notes"
        seq "$first" "$last" | awk '{ printf "[[added.accounts]]\nname = \"account-%d\"\nshare = 1.0\nkeys = [\"%064x\"]\n", $1, $1 }'
    } >"$work/note-$((notes + 1)).toml"
    notes=$((notes + 1))
done
for _ in $(seq 50); do
    curl -sf http://127.0.0.1:24000/hosts >/dev/null && break
    sleep 0.1
done
for i in $(seq "$notes"); do
    submitted=$(date +%s%3N)
    "$binary" note submit "$work/note-$i.toml" --platform http://127.0.0.1:24000 --timeout 30 >/dev/null
done

ports=()
for i in $(seq "$entries"); do ports+=("entry:$((26100 + i))"); done
for i in $(seq "$agents"); do ports+=("agent:$((27000 + i))"); done
in_force() {
    for port in "${ports[@]}"; do
        curl -sf "http://127.0.0.1:${port#*:}/metrics" | grep -qx "lovagecourse_note_number $notes" || return 1
    done
}
until in_force; do sleep 0.1; done
everywhere=$(date +%s%3N)
sleep 5

sample() { # file
    for port in "${ports[@]}"; do
        curl -sf "http://127.0.0.1:${port#*:}/metrics" | awk -v role="${port%:*}" '
            /^process_cpu_seconds_total / { cpu = $2 }
            /^process_peak_resident_bytes / { memory = $2 }
            /^lovagecourse_datagram_sent_bytes_total / { sent += $2 }
            /^lovagecourse_link_sent_bytes_total / { sent += $2 }
            END { print role, cpu, memory, sent }'
    done >"$1"
}
sample "$work/before"
sleep "$seconds"
sample "$work/after"
paste -d' ' "$work/before" "$work/after" | awk -v seconds="$seconds" -v entries="$entries" \
    -v agents="$agents" -v accounts="$accounts" -v spread=$((everywhere - submitted)) '
    { count[$1]++; cpu[$1] += $6 - $2; sent[$1] += $8 - $4; if ($7 > memory[$1]) memory[$1] = $7 }
    END {
        printf "{\"entries\":%d,\"agents\":%d,\"accounts\":%d,\"note_everywhere_ms\":%d", entries, agents, accounts, spread
        for (role in count)
            printf ",\"%s\":{\"cpu_percent\":%.3f,\"peak_mb\":%.1f,\"sent_bytes_per_s\":%.0f}", role, \
                100 * cpu[role] / count[role] / seconds, memory[role] / 1e6, sent[role] / count[role] / seconds
        print "}"
    }'
