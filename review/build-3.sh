#!/usr/bin/env bash
# Builds the stand-ins and drivers of cases 11 to 15 into build-review-3/. The programs under test come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-3 -B build-review-3 -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build-review-3 --parallel 4
