#!/bin/sh
# The stand-ins are plain modules for Node.js without dependencies: they need no build beside that of the deploy file.
cd "$(dirname "$0")/.." || exit 1
for file in review/lib/*.mjs review/*/case.mjs; do
  node --check "$file" || exit 1
done
