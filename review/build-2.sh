#!/bin/sh
# Compiles the stand-ins and the cases of the second review into target/review-2, with the JDK alone. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/stand-2/*.java review/[0-9]*/src/*.java
