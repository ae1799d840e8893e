#!/usr/bin/env bash
# Builds the stand-ins and the case programs of the review into review/build.
set -euo pipefail
cd "$(dirname "$0")"
cmake -S . -B build
cmake --build build -j 4
