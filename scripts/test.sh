#!/usr/bin/env bash
# Installs, builds and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/build.sh
if [ -e KNOWN-RED.txt ]; then
    echo "Known failing tests, which are not run (see KNOWN-RED.txt):"
    cat KNOWN-RED.txt
fi
# Each integration test starts its own fleet; more than three at a time disturb the timing.
ctest --test-dir build --output-on-failure --no-tests=error -j 3
