#!/bin/sh
# Builds the stand-ins of review/standins-3 into build/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o build/review/fleetcase review/standins-3/Main.cpp
