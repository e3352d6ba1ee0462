#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. Needs the compiler and nothing else.
set -eu
cd "$(dirname "$0")"
out=../target/review-2
mkdir -p "$out"
for source in standins-2/case*.cpp; do
    name=$(basename "$source" .cpp)
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "$out/$name" "$source" standins-2/platformstandin.cpp
done
