#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no engine crashes.
# The routers end with the program that starts them, whatever ends it.
here="$(cd "$(dirname "$0")" && pwd)"
repository="$(cd "$here/../.." && pwd)"
folder="$(mktemp -d)"
program=
trap '[ -z "$program" ] || kill -9 "$program" 2>/dev/null; rm -rf "$folder"; exit 2' INT TERM HUP
"$repository/target/review/RelayedCut" "$repository" "$folder" "$here/record.txt" &
program=$!
wait "$program"
status=$?
rm -rf "$folder"
[ "$status" -le 2 ] || status=2
exit "$status"
