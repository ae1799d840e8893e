#!/usr/bin/env bash
# Builds the stand-ins and drivers of the second review's scripts into target/review-2/; one program for each standins-2/case_*.cpp.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
output=../../target/review-2
mkdir -p "$output"
shared=()
for source in *.cpp; do
    case "$source" in
    case_*) ;;
    *) shared+=("$source") ;;
    esac
done
flags="-std=c++17 -O1 -Wall -Wextra -Wpedantic -Werror $(pkg-config --cflags libmicrohttpd libcurl fmt)"
objects=()
for source in "${shared[@]}"; do
    object="$output/${source%.cpp}.o"
    objects+=("$object")
    # shellcheck disable=SC2086
    g++ $flags -c "$source" -o "$object" &
done
wait
for source in case_*.cpp; do
    program=${source%.cpp}
    # shellcheck disable=SC2086
    g++ $flags "$source" "${objects[@]}" -o "$output/${program#case_}" $(pkg-config --libs libmicrohttpd libcurl fmt) -pthread &
done
wait
for source in case_*.cpp; do
    program=${source%.cpp}
    [ -x "$output/${program#case_}" ]
done
