#!/usr/bin/env bash
# Builds the stand-ins and drivers of the second review's scripts into target/review-2/; one program for each standins-2/case_*.cpp.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
output=../../target/review-2
rm -rf "$output"
mkdir -p "$output"
flags="-std=c++17 -O1 -Wall -Wextra -Wpedantic -Werror $(pkg-config --cflags libmicrohttpd libcurl fmt)"
libraries="$(pkg-config --libs libmicrohttpd libcurl fmt) -pthread"
printf '%s\n' *.cpp | xargs -P 4 -I SOURCE sh -c "g++ $flags -c SOURCE -o $output/SOURCE.o"
shared=()
for object in "$output"/*.o; do
    case "$object" in
    */case_*) ;;
    *) shared+=("$object") ;;
    esac
done
for source in case_*.cpp; do
    program=${source%.cpp}
    # shellcheck disable=SC2086
    g++ "$output/$source.o" "${shared[@]}" -o "$output/${program#case_}" $libraries
done
