#!/bin/sh
# Builds the programs that the scripts of the review start, into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]/*.cpp; do
    [ -e "$source" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/$(basename "$source" .cpp)" "$source"
done
