#!/usr/bin/env bash
# Formatter, linter, type check, build and all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install.sh
npm run --silent lint
npm run --silent typecheck
npm run --silent build
npm run --silent gateway
# A test that fails now and then for a fault that KNOWN-RED.txt lists: it runs by itself, and its failure is printed only.
known_red='(serves other callers meanwhile: small-chunks|a crowd of callers ends no process (requests sent ahead: no route|readers that stop half-way: route|bodies in one piece: route))$'
npm run --silent unit -- --ci --testNamePattern "^(?!.*$known_red)" --testPathIgnorePatterns test/programs/crowds -- "$@"
# Crowds of callers run one after the other and apart from the other tests, whose load would be part of what they measure.
npm run --silent unit -- --ci --testNamePattern "^(?!.*$known_red)" test/programs/crowds
npm run --silent unit -- --ci --testNamePattern "$known_red" test/programs/memory-limit test/programs/crowds || echo "failed, as listed in KNOWN-RED.txt: $known_red"
# A short seeded soak of the real gateway processes.
node dist/soak/soak.js --seeds 1 --seed 1 --seconds 6
# Known faults without a passing test or play.
if [ -s KNOWN-RED.txt ]; then cat KNOWN-RED.txt; fi
