#!/usr/bin/env bash
# Runs a Catch2 program, except for the tests that KNOWN-RED.txt lists.
# usage: run-tests.sh PROGRAM [TEST-SPEC]
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
spec=${2:-}
excluded=
if [ -e "$root/KNOWN-RED.txt" ]; then
    while IFS= read -r name; do
        excluded="$excluded~\"${name//,/\\,}\""
    done < <(sed -n 's/^test: "\(.*\)"$/\1/p' "$root/KNOWN-RED.txt")
fi
# Catch2 takes text after an unquoted name as a part of it, so each of the comma-separated filters
# begins with the exclusions.
if [ -n "$excluded" ]; then
    separator=$'\x01'
    spec=${spec//\\,/$separator}
    spec=$excluded${spec//,/,$excluded}
    spec=${spec//$separator/\\,}
fi
exec "$1" --filenames-as-tags --warn NoTests ${spec:+"$spec"}
