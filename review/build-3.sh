#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 11 to 15 into build/review-3/. Needs g++ and nlohmann-json.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-3
mkdir -p "$out"
for part in http store fleet; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -c "review/standins-3/$part.cpp" -o "$out/$part.o"
done
for source in review/1[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" "$out/http.o" "$out/store.o" "$out/fleet.o" \
        -o "$out/case-$number.new"
    mv "$out/case-$number.new" "$out/case-$number"
done
