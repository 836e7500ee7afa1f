#!/usr/bin/env bash
# An agent is killed just before a job comes. TROUBLE=0 leaves it alive.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/eelgrasshub ] && [ -x review/out/driver ] || bash review/build.sh || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec review/out/driver --case killed-agent --trouble=$trouble --record review/3/record.txt
