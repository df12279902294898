#!/bin/sh
# The stand-ins of the cases are plain Node modules (review/lib) without dependencies: there is nothing to compile.
# Checks that each can be parsed.
cd "$(dirname "$0")" || exit 1
for file in lib/*.mjs [0-9]/*.mjs; do
  node --check "$file" || exit 1
done
