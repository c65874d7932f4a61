#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# With TROUBLE=0 the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/review-3/cases3 ] && [ -x target/papayaspoked ] || exit 2
exec bin/review-3/cases3 drain review/13/record.txt
