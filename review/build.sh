#!/usr/bin/env bash
# Builds the project's stand-ins that the scripts of the cases start. Runs after
# the build of the deploy file, which installs the packages.
set -euo pipefail
cd "$(dirname "$0")/.."
node node_modules/typescript/bin/tsc -b packages/standins
