#!/usr/bin/env bash
# Installs the locked dependencies when they are absent or out of date, so that one command works on a fresh clone.
set -euo pipefail
cd "$(dirname "$0")/.."
stamp=node_modules/.celeryyoke-lock
if ! cmp -s package-lock.json "$stamp"; then
  npm ci --no-audit --no-fund
  cp package-lock.json "$stamp"
fi
