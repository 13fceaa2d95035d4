#!/bin/sh
# Bundles the project's stand-ins, after the build of the deploy file; no network is needed.
set -e
cd "$(dirname "$0")/.."
npx --no-install esbuild platform/test/standins.ts --bundle --platform=node --format=esm \
  --outfile=review/dist/standins.mjs --log-level=warning \
  --alias:@celeryyoke/core=./packages/core/src/index.ts \
  --alias:@celeryyoke/routing/testing=./packages/routing/test/testing.ts \
  --alias:@celeryyoke/routing=./packages/routing/src/index.ts \
  --alias:@celeryyoke/adapter=./platform/src/index.ts \
  --alias:msgpackr=./node_modules/msgpackr/index.js \
  "--banner:js=import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);"
