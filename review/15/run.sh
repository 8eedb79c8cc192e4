#!/bin/sh
# Runs the case from the root of the repository; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/sequoiahold ] && [ -x target/review-3/case-15 ] || exit 2
exec target/review-3/case-15
