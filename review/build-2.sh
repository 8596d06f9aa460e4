#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the project's own program.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-play2 ./review/play2
