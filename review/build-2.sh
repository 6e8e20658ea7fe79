#!/usr/bin/env bash
# The stand-ins of the scripts in review/6 to review/10 are plain modules of Node.js; nothing has to be compiled. Checks that they can be loaded.
set -e
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/[6-9]/*.mjs review/10/*.mjs; do
  node --check "$file"
done
