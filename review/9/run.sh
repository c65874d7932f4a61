#!/usr/bin/env bash
# A part of long prompts crashes replicas.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review2/review2 ] && [ -x target/papayaspoked ] || { echo "build first: the deploy file and review/build-2.sh"; exit 2; }
target/review2/review2 long review/9
