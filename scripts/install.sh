#!/usr/bin/env bash
# Installs the Debian packages that the build, the checks and the tests need.
set -euo pipefail

packages=(
    build-essential cmake ninja-build ccache clang-format clang-tidy curl ca-certificates
    libev-dev libcereal-dev libboost-dev libboost-log-dev libcurl4-openssl-dev libmicrohttpd-dev
    libcxxopts-dev catch2 libtomlplusplus-dev nlohmann-json3-dev libxxhash-dev libssl-dev
)

missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${missing[@]}"
