#!/usr/bin/env bash
# Checks the specifications exhaustively with Spin: scripts/spec.sh [NAME [-DMUTANT]]
# Without a name, checks every spec/*.pml. Without a mutant, also checks that Spin finds a violation
# in each mutant that the first line of the file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
memory_mb=2048 # limit per check

# Checks one specification or mutant, prints the result and succeeds if no violation was found.
# Exits with status 2 if the check did not complete.
check() {
  local name=$1 dir out errors states
  shift
  dir=$(mktemp -d)
  out=$(cd "$dir" && spin -a "$@" "$root/spec/$name.pml" >&2 \
    && gcc -w -O2 -DSAFETY -DMEMLIM=$memory_mb -o pan pan.c && ./pan -m1000000) || true
  rm -rf "$dir"
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' <<<"$out")
  states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' <<<"$out" | head -n 1)
  if [ -z "$errors" ] || grep -q "out of memory\|max search depth too small" <<<"$out"; then
    echo "spec $name $*: the check did not end" >&2
    printf '%s\n' "$out" >&2
    exit 2
  fi
  echo "spec $name $*: errors $errors, states $states"
  [ "$errors" = 0 ]
}

# Checks a specification and all its mutants.
check_all() {
  local name=$1 mutant
  check "$name" || { echo "spec $name: a rule is violated" >&2; exit 1; }
  for mutant in $(sed -n '1s:^/\* mutants\: \(.*\) \*/$:\1:p' "spec/$name.pml"); do
    if check "$name" "-D$mutant"; then
      echo "spec $name: the violation of $mutant is not found" >&2
      exit 1
    fi
  done
}

if [ $# -ge 2 ]; then
  check "$@"
elif [ $# -eq 1 ]; then
  check_all "$1"
else
  jobs=()
  for file in spec/*.pml; do
    check_all "$(basename "$file" .pml)" &
    jobs+=($!)
  done
  failed=0
  for job in "${jobs[@]}"; do
    wait "$job" || failed=1
  done
  exit "$failed"
fi
