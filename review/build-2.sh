#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 6. The build of deploy/system.toml comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-lab ./review/lab
