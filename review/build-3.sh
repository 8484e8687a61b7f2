#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly output=target/review-3
mkdir -p "$output"

compile() {
    g++ -std=c++20 -O1 -Wall -Wextra -c "$1" -o "$output/$(basename "$1").o"
}

pids=()
for source in review/standin-3/*.cpp; do
    compile "$source" &
    pids+=("$!")
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
g++ "$output"/*.cpp.o -o "$output/standin" -lboost_json -pthread
