#!/usr/bin/env bash
# Fails when a name of the users' platform stands outside platform/.
set -euo pipefail
cd "$(dirname "$0")/.."

names='x-lovagecourse-|log-append|log-read|log-newest|keyed\.|kv_capacity|api_keys|path_prefix|slo_ms|route_kind|max_attempts|readyz?_path|/v1/readyz'
if grep -rniE "$names" src standins; then
    echo "names of the platform belong into platform/" >&2
    exit 1
fi
