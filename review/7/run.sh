#!/usr/bin/env bash
# Plays the case "resume" and writes record.txt here. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/damaskedge ] || [ ! -x target/stand2 ]; then
  echo "build first: the command of deploy/system.toml, then review/build-2.sh" >&2
  exit 2
fi
exec target/stand2 -case resume -out "$here"
