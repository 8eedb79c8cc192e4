#!/usr/bin/env bash
# An entry of another writer names a version of the model, and all machines lose power.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
dir=$(cd "$(dirname "$0")" && pwd)
cd "$dir/../.." || exit 2
[ -x target/release/sequoiahold ] && [ -x target/review-2/foreign ] || exit 2
exec target/review-2/foreign "$dir"
