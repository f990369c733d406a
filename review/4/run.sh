#!/bin/sh
# Case 4: another writer leaves one odd entry among those of the workers.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 does the same without the disruption. It needs the build of the deploy file
# and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/tamarackstep ] && [ -x target/review-standin ] || exit 2
exec target/review-standin entry review/4/record.txt
