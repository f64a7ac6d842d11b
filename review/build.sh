#!/bin/sh
# Builds the stand-ins of the cases into build-review/, with the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review
for source in review/standins/*.cpp; do
  name=$(basename "$source" .cpp)
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "build-review/$name" "$source"
done
