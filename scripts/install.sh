#!/usr/bin/env bash
# Installs the locked packages; does nothing if node_modules was installed from this lock file.
set -euo pipefail
cd "$(dirname "$0")/.."
stamp=node_modules/.installed-lock
digest=$(sha256sum package-lock.json | cut -d ' ' -f 1)
if [ "$(cat "$stamp" 2>/dev/null || true)" != "$digest" ]; then
  npm ci --no-audit --no-fund --prefer-offline
  echo "$digest" > "$stamp"
fi
