#!/bin/sh
# Builds the stand-ins of the scripts in review/4 to review/8, in a folder of its own below review/.
set -eu
cd "$(dirname "$0")"
mkdir -p standins-2/bin
for source in standins-2/*.cpp; do
    name="$(basename "$source" .cpp)"
    if [ "standins-2/bin/$name" -nt "$source" ] && [ "standins-2/bin/$name" -nt standins-2/World.h ]; then
        continue
    fi
    g++ -std=c++20 -O1 -pthread -o "standins-2/bin/$name" "$source"
done
