#!/usr/bin/env bash
# Formatter, linter, type check, build and all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install.sh
npm run --silent lint
npm run --silent typecheck
npm run --silent build
npm run --silent gateway
npm run --silent unit -- --ci "$@"
# A short seeded soak of the real gateway processes.
node dist/soak/soak.js --seeds 1 --seed 1 --seconds 6
# Known faults without a passing test or play.
if [ -s KNOWN-RED.txt ]; then cat KNOWN-RED.txt; fi
