#!/bin/sh
# Case 2: the leading host is stopped as planned, and hosts with slow links remain meanwhile.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 does the same without the disruption. It needs the build of the deploy file
# and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/tamarackstep ] && [ -x target/review-standin ] || exit 2
exec target/review-standin link review/2/record.txt
