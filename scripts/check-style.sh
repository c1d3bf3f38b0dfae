#!/usr/bin/env bash
# Checks the format of all sources and lints them; configures build/ for clang-tidy.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h')
clang-format --dry-run --Werror "${sources[@]}"
cmake -S . -B build -G Ninja >/dev/null
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cpp$')
printf '%s\0' "${units[@]}" \
    | xargs -0 -n 2 -P "$(nproc)" clang-tidy -p build --quiet 2> >(grep -v 'warnings generated\|Suppressed' >&2)
