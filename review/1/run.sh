#!/usr/bin/env bash
# Plays the case; see claim.txt. Exit: 1 rule broken, 0 rule held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/drill ] && [ -x target/medlarpulley ] || { echo "build first: deploy/system.toml, then review/build.sh"; exit 2; }
exec target/review/drill cuts "${RECORD:-review/1/record.txt}"
