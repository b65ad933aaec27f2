#!/usr/bin/env bash
# The stand-ins are plain JavaScript without dependencies: nothing has to be compiled, only the syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs [1-5]/case.mjs; do
    node --check "$file"
done
