#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-3
for source in review/standins-3/*Case.cpp; do
    name=$(basename "$source" .cpp)
    "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-3/$name"
done
