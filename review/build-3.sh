#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 15 start, after the build of the
# deploy file. Their stand-ins are the plain modules ./*-3.mjs: nothing is compiled,
# so this checks that they load and that the program is there.
set -euo pipefail
cd "$(dirname "$0")"
test -f ../target/vanillacross-node.mjs || {
  echo 'the build of the deploy file comes first' >&2
  exit 1
}
for file in ./*-3.mjs 1[1-5]/*.mjs; do node --check "$file"; done
echo 'the stand-ins of the cases 11 to 15 are ready'
