#!/usr/bin/env bash
# The stand-ins are plain modules that Node.js runs as they are, so nothing has to be built. Checks their syntax.
cd "$(dirname "$0")/.." || exit 2
for file in review/standin/*.mjs review/*/*.mjs; do
  node --check "$file" || exit 1
done
