#!/bin/sh
# Case 3: all machines lose power while one large job runs that saves its progress.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 does the same without the disruption. It needs the build of the deploy file
# and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/tamarackstep ] && [ -x target/review-standin ] || exit 2
exec target/review-standin progress review/3/record.txt
