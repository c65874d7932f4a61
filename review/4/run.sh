#!/bin/sh
# Runs case 4; TROUBLE=0 leaves the disruption out. Exit status: 1 broken, 0 held,
# 2 could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/papayaspoked ] && [ -x target/review/case4 ] || exit 2
exec target/review/case4 "$here"
