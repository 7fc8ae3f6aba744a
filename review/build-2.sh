#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are plain modules, *-2.mjs,
# that need no compiler; this checks that each can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
for file in *-2.mjs [6-9]/*.mjs; do node --check "$file"; done
test -s ../target/vanillacross-node.mjs
