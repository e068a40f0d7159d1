#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into build/review-3/. Needs g++ and nlohmann-json.
#   review/build-3.sh          all cases
#   review/build-3.sh 11       one case
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-3
mkdir -p "$out"
# Several scripts may build at the same time: each uses files of its own and puts whole programs in place.
files=$(mktemp -d)
trap 'rm -rf "$files"' EXIT
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
jobs=()
for part in http store fleet; do
    g++ "${flags[@]}" -c "review/standins-3/$part.cpp" -o "$files/$part.o" &
    jobs+=($!)
done
cases=("$@")
[ $# -gt 0 ] || cases=(11 12 13 15)
for number in "${cases[@]}"; do
    [ -e "review/$number/case.cpp" ] || continue
    g++ "${flags[@]}" -c "review/$number/case.cpp" -o "$files/case-$number.o" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do
    wait "$job"
done
for object in "$files"/case-*.o; do
    name=$(basename "$object" .o)
    g++ -pthread "$object" "$files"/{http,store,fleet}.o -o "$files/$name"
    mv "$files/$name" "$out/$name.$$"
    mv "$out/$name.$$" "$out/$name"
done
