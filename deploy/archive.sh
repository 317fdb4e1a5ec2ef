#!/bin/sh
# Writes target/wrenreach.jsa, the class-data archive that halves the start of a node: a few mails played through
# a node on loopback with the sample config tell which classes belong into it. A node starts without it too, only later.
set -eu
cd "$(dirname "$0")/.."
folder=$(mktemp -d target/rehearsal.XXXXXX)
trap 'rm -rf "$folder"' EXIT
java @deploy/serve.options -Xlog:disable -Xlog:all=error:stderr -XX:ArchiveClassesAtExit=target/wrenreach.jsa \
    -jar target/wrenreach.jar rehearse --config deploy/sample.json --state "$folder/state" > "$folder/log" 2>&1 ||
    { echo "no class-data archive, nodes start slower:" >&2; cat "$folder/log" >&2; }
