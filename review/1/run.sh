#!/bin/sh
# Exits with 1 if the rule is broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
# With TROUBLE=0 the case does the same without the disruption, and must hold.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec node review/1/case.mjs
