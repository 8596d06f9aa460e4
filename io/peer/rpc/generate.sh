#!/usr/bin/env bash
# Regenerates the committed peer code; needs protoc and the tools module's plugins in .bin.
set -euo pipefail
cd "$(dirname "$0")/../../.."
PATH="$PWD/.bin:$PATH" protoc --go_out=. --go_opt=module=radishhollow --twirp_out=. --twirp_opt=module=radishhollow io/peer/rpc/peer.proto
