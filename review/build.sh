#!/bin/sh
# Builds the stand-ins and drivers that the scripts of this folder start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/cases review/standins/main.rs
