#!/usr/bin/env bash
# Regenerates the committed peer code; needs buf, and the tools module's plugins in .bin. Both work without a network.
set -euo pipefail
cd "$(dirname "$0")/../../.."
PATH="$PWD/.bin:$PATH" buf generate --template io/peer/rpc/buf.gen.yaml --path io/peer/rpc
