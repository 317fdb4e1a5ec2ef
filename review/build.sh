#!/bin/sh
# Compiles the stand-ins and the cases into target/review, with the JDK alone. Run from the root after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -Xlint:all -d target/review review/stand/*.java review/[0-9]*/*.java
