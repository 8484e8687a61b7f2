#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into out/review.
set -euo pipefail
cd "$(dirname "$0")/.."

cmake -S review/standin -B out/review -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build out/review
