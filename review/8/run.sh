#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
# Needs the two builds that review/REPORT-2.md names.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/pimentotide ] && [ -x target/review-2/stage ] || exit 2
exec target/review-2/stage replace review/8
