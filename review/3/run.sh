#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/wrenreach.jar ] && [ -f target/review/Clumps.class ] || { echo "not built: deploy file's build, then review/build.sh"; exit 2; }
RECORD="$PWD/review/3/record.txt" TROUBLE="${TROUBLE:-1}" timeout -k 5 110 java -Xmx512m -cp target/review Clumps &
pid=$!
trap 'kill $pid' INT TERM
wait $pid
code=$?
[ $code -le 2 ] || code=2
exit $code
