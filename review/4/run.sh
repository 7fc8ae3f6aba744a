#!/usr/bin/env bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. TROUBLE=0 leaves out the disruption.
exec node "$(dirname "$0")/run.mjs"
