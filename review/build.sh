#!/usr/bin/env bash
# Builds the program of the cases: clients, servers, the platform's store, and the checks.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
c++ -std=c++20 -O1 -g -Wall -Wextra -pthread standins/*.cpp [1-9]/*.cpp -o build/review-case
