#!/usr/bin/env bash
# Plays the case, see claim.txt. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/celerycroft ] && [ -x target/review-2/case-10 ] || exit 2
exec timeout -k 2 110 target/review-2/case-10 review/10/record.txt
