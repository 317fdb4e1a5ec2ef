#!/bin/sh
# Measures lists from watched files on loopback, from a built checkout (mvn -B verify): bench/lists.sh [ROUNDS] [ENDPOINTS] [DESTINATIONS]
set -eu
cd "$(dirname "$0")/.."
# JAVA_OPTIONS: another collector, for one.
# shellcheck disable=SC2086 # Options are several words.
exec java -Xmx512m ${JAVA_OPTIONS:--XX:+UseSerialGC} -cp "lists/target/test-classes:target/wrenreach.jar:target/parts/*" \
    wrenreach.lists.ListsBench "${1:-300}" "${2:-100000}" "${3:-1000}"
