#!/usr/bin/env bash
# Builds the stand-ins and the driver of each case into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
root=..
mkdir -p build/objects
flags=(-std=c++20 -O2 -Wall -Wextra -pthread -I standins -I "$root" -I "$root/include" -I "$root/tests/adapter")
sources=(standins/*.cpp "$root"/tests/adapter/platform_store.cpp "$root"/src/encoding/*.cpp "$root"/src/core/address.cpp)
objects=()
pids=()
for source in "${sources[@]}"; do
    object=build/objects/$(basename "$source" .cpp).o
    objects+=("$object")
    g++ "${flags[@]}" -c "$source" -o "$object" &
    pids+=($!)
done
for case in [1-9]/case.cpp; do
    g++ "${flags[@]}" -c "$case" -o "build/objects/case${case%%/*}.o" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
for case in [1-9]/case.cpp; do
    number=${case%%/*}
    g++ -pthread "build/objects/case$number.o" "${objects[@]}" -lsodium -o "build/case$number"
done
