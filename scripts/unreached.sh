#!/usr/bin/env bash
# Fails where the product has functions that no program reaches, other than those tools/unreached.txt lists. Options that
# were checked, documented and read by nothing were found that way. The arguments are the command that runs tools.
set -euo pipefail
cd "$(dirname "$0")/.."
scaffolding='^internal/(check|judge|trial)/'
found=$("$@" deadcode -filter '^damaskreach/(pkg|internal/[^/]*)$' ./cmd/... |
  sed -E 's/^([^:]*):[0-9:]* unreachable func: /\1 /' | grep -Ev "$scaffolding" | LC_ALL=C sort)
if ! diff <(LC_ALL=C sort tools/unreached.txt) <(echo "$found"); then
  echo "unreached: call the functions marked >, delete them, or list them in tools/unreached.txt; take those marked < off it" >&2
  exit 1
fi
