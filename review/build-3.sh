#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15, with their stand-ins, into target/review-3/. Needs a C++20 compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-3/*.cpp; do
    name=$(basename "$source" .cpp)
    if [ "$name" != deployment ]; then
        g++ -std=c++20 -O1 -pthread -o "target/review-3/$name" "$source" review/standins-3/deployment.cpp
    fi
done
