#!/bin/sh
# The stand-ins of the cases 6 to 10 are plain modules of Node.js: nothing is compiled, only checked.
set -e
cd "$(dirname "$0")/.."
for file in review/standins-2/*.mjs review/6/*.mjs review/7/*.mjs review/8/*.mjs review/9/*.mjs review/10/*.mjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
