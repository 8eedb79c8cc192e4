#!/usr/bin/env bash
# Installs missing test tools, then runs the format, lint, specification and test checks.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v spin >/dev/null || ! command -v gcc >/dev/null; then
  apt-get update -qq
  apt-get install -y -qq spin gcc libc6-dev >/dev/null
fi
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked --quiet -- -D warnings
cargo build --workspace --locked --quiet
if [ -x scripts/spec.sh ]; then
  scripts/spec.sh
fi
cargo test --workspace --locked --quiet
if [ -s KNOWN-RED.txt ]; then
  echo "Known to fail, not run as tests:"
  cat KNOWN-RED.txt
fi
