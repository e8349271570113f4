#!/usr/bin/env bash
# Builds the programs of the cases into review/bin/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/ ./review/...
