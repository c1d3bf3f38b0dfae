#!/usr/bin/env bash
# Benchmarks the scheduling policy and its baselines under load with real processes on loopback.
# usage: measure.sh [fairness|head-of-line|utilisation|peak|tail|control|speed] [--seed N] [--quick]
#                   [--site unikoski|association]
# Without a name, all run. Results (text, JSON, SVG) go to build/measurements.
set -euo pipefail
cd "$(dirname "$0")/.."

names=()
seed=1
seconds=12
site=unikoski
while [ $# -gt 0 ]; do
    case $1 in
        --seed) seed=$2; shift ;;
        --quick) seconds=8 ;;
        --site) site=$2; shift ;;
        -*) sed -n 2,5p "$0" >&2; exit 2 ;;
        *) names+=("$1") ;;
    esac
    shift
done
[ ${#names[@]} -gt 0 ] || names=(fairness head-of-line utilisation peak tail control speed)

out=$PWD/build/measurements
mkdir -p "$out"
for name in "${names[@]}"; do
    build/lovagecourse-standins measure --lovagecourse "$PWD/build/lovagecourse" \
        --standins "$PWD/build/lovagecourse-standins" --measure "$name" --site "$site" \
        --out "$out" --seed "$seed" --seconds "$seconds" | tee -a "$out/results.txt"
done
