#!/usr/bin/env bash
# Builds the program and runs a deployment on loopback: scripts/demo.sh [glasmarke|tannverket] [--json]
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=glasmarke
seed=1
json=no
while [ $# -gt 0 ]; do
  case "$1" in
    glasmarke|tannverket) deployment=$1 ;;
    --json) json=yes ;;
    --seed) seed=${2:?--seed needs a number}; shift ;;
    *) echo "usage: scripts/demo.sh [glasmarke|tannverket] [--json] [--seed N]" >&2; exit 2 ;;
  esac
  shift
done
cargo build --release --locked --quiet >&2
run_demo() {
  cargo run --release --locked --quiet --bin sequoiahold-bench -- \
    demo "$deployment" --seed "$seed"
}
if [ "$json" = yes ]; then
  run_demo | tail -n 1
else
  run_demo
fi
