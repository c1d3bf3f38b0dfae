#!/usr/bin/env bash
# Builds the stand-ins of the cases review/6 to review/10 into build-review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf build-review-2
mkdir build-review-2
pids=()
for source in review/standins-2/*.cpp; do
    object=build-review-2/$(basename "$source" .cpp).o
    "${CXX:-c++}" -std=c++20 -O1 -g -Wall -Wextra -pthread -c -o "$object" "$source" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
"${CXX:-c++}" -pthread -o build-review-2/review-standins build-review-2/*.o
