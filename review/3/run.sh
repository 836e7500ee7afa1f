#!/usr/bin/env bash
# Versions of a large configuration while a gateway is cut off from the store. TROUBLE=0 leaves the cut out.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/eelgrasshub ] && [ -x review/out/driver ] || bash review/build.sh || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec review/out/driver --case config-storm --trouble=$trouble --record review/3/record.txt
