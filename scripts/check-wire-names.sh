#!/usr/bin/env bash
# Fails if a wire name of the users' platform occurs in src/ or standins/ instead of platform/.
set -euo pipefail
cd "$(dirname "$0")/.."

names='x-lovagecourse-|log-append|log-read|log-newest|keyed\.|kv_capacity|api_keys|path_prefix|slo_ms|route_kind|max_attempts|server-leaving:|readyz?_path|/v1/readyz'
if grep -rniE "$names" src standins; then
    echo "wire names of the platform belong in platform/" >&2
    exit 1
fi
