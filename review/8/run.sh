#!/bin/sh
# Exit status: 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
here="$(pwd)"
root="$(cd ../.. && pwd)"
program="$root/review/standins-2/bin/EmptySeeds"
if [ ! -x "$program" ] || [ ! -x "$root/target/bin/swiftlift-router" ]; then
    exit 2
fi
folder="$(mktemp -d)" || exit 2
# The routers end with the program that has started them, however it ends.
timeout -k 1 110 "$program" "$root" "$folder" "$here/record.txt" &
running=$!
trap 'kill "$running" 2>/dev/null; wait "$running"; rm -rf "$folder"; exit 2' INT TERM HUP
wait "$running"
status=$?
rm -rf "$folder"
if [ "$status" -gt 2 ]; then
    exit 2
fi
exit "$status"
