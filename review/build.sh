#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/, beside the program that the deploy file builds there. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/reviewstand ./review/stand
