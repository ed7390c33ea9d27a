#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/review/cases-2 ] && [ -x target/medlarpulley ] || exit 2
exec timeout -k 5 115 target/review/cases-2 progress "$here/record.txt"
