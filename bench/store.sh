#!/bin/sh
# Paired: the journal and the store under the same turns, then JMH's small figures. Linux, a built checkout.
#   bench/store.sh [ROUNDS] [TURNS]
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
path="$root/bench/target/classes:$root/bench/target/libraries/*"
for sizes in "2000000 400" "64000000 20000"; do
    # shellcheck disable=SC2086 # Limit and mails held.
    java -Xmx512m -XX:+UseSerialGC -cp "$path" wrenreach.bench.LedgerRun "${1:-5}" "${2:-20000}" $sizes
done
java -cp "$path" org.openjdk.jmh.Main -f 1 StoreAppend
