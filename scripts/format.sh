#!/usr/bin/env bash
# Formats all C++ sources. clang-format would take other files, such as Markdown, for C++.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h')
clang-format -i "${sources[@]}"
