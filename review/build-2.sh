#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10; needs rustc only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.rs; do
  name=$(basename "$source" .rs)
  [ "$name" = stand ] || rustc --edition 2024 -O -o "target/review-2/$name" "$source"
done
