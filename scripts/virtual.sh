#!/usr/bin/env bash
# Fails where a test file starts a whole site in virtual time and lacks the build tag !race. Under the race detector such a
# test crashes now and then by a fault of Go's runtime, and CI's verdict would change from run to run. Files that use one of
# these need the tag too; under the detector they do not compile without it.
set -euo pipefail
cd "$(dirname "$0")/.."
starts='site\.NewSite|soak\.NewSoak|demo\.Run|replay\.Run|trial\.NewTrial'
bad=0
for f in $(git grep -lE "$starts" -- '*_test.go'); do
  if grep -q '"testing/synctest"' "$f" && ! grep -q '^//go:build !race$' "$f"; then
    echo "virtual: $f plays a whole site in virtual time; its first line has to be: //go:build !race" >&2
    bad=1
  fi
done
exit $bad
