#!/bin/sh
# Runs the case of this folder; TROUBLE=0 leaves the disruption out. Exit status: 1
# if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
case=$(basename "$here")
cd "$here/../.." || exit 2
[ -x target/papayaspoked ] && [ -x "target/review/case$case" ] || exit 2
exec "target/review/case$case" "$here"
