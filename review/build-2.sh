#!/usr/bin/env bash
# Builds the stand-in that the scripts of the second review start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -o target/review-2/world_standin \
    review/standin-2/world_standin.cpp -lboost_json -pthread
