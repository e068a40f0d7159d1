#!/usr/bin/env bash
# Builds the programs of the second review's cases into build/review-2/. Needs the packages of tools/packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    case $number in
    6 | 7 | 8 | 9 | 10) ;;
    *) continue ;;
    esac
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "build/review-2/case-$number"
done
