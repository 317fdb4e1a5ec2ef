#!/bin/sh
# Measures what the size to come costs, from a built checkout (mvn -B verify): bench/capacity.sh help
set -eu
cd "$(dirname "$0")/.."
exec java -Xmx1g -Djava.awt.headless=true -cp "bench/target/classes:bench/target/libraries/*" wrenreach.bench.capacity.Capacity "$@"
