#!/usr/bin/env bash
# Prepares the stand-ins that the cases from review/4 on start. They are plain modules for
# Node.js and need no compiler and no package: this checks that each of them can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs [4-8]/*.mjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
echo "stand-ins are ready"
