#!/usr/bin/env bash
# Runs every fuzz test, one after another, each for the time given (10s by default). Failing inputs are written to
# testdata/fuzz of their package, where the usual tests run them from then on.
set -euo pipefail
cd "$(dirname "$0")/.."
time=${1:-10s}
go=${GO:-go}
failed=0
while read -r package; do
  while read -r target; do
    echo "$package $target"
    "$go" test -run '^$' -fuzz "^$target\$" -fuzztime "$time" -parallel "${FUZZPARALLEL:-4}" "$package" || failed=1
  done < <("$go" test -list '^Fuzz' "$package" | grep '^Fuzz' || true)
done < <(grep -rlE '^func Fuzz' --include='*_test.go' . | xargs -n1 dirname | sort -u)
exit $failed
