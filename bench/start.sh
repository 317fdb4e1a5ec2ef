#!/usr/bin/env bash
# Time from start to PONG and resident memory then, old checkout against new, in turns on one core:
#   bench/start.sh OLD NEW [ROUNDS] [OPTIONS FOR NEW'S serve...]
# OLD and NEW are built checkouts with their class-data archives (sh deploy/archive.sh).
set -eu
old=$1 new=$2 rounds=${3:-15}
shift; shift; shift || true
here=$(mktemp -d)
trap 'rm -rf "$here"' EXIT
one() { # checkout port options...
    local root=$1 port=$2 t0 t1 pid
    shift; shift
    rm -rf "$here/state"
    t0=$(date +%s%N)
    (cd "$root" && GW_LISTEN=127.0.0.1:$port exec taskset -c 1 java @deploy/serve.options \
        -XX:SharedArchiveFile=target/wrenreach.jsa -jar target/wrenreach.jar serve --config deploy/sample.json \
        --state "$here/state" "$@" 2>/dev/null) &
    pid=$!
    until { exec 3<>"/dev/tcp/127.0.0.1/$port"; } 2>/dev/null; do sleep 0.002; done
    printf 'PING\r\n' >&3
    head -n 1 <&3 >/dev/null
    t1=$(date +%s%N)
    exec 3>&-
    sleep 1
    echo "$(((t1 - t0) / 1000)) $(awk '/^VmRSS/ {print $2}' "/proc/$pid/status")"
    kill -KILL "$pid"
    wait "$pid" 2>/dev/null || true
}
for ((i = 0; i < rounds; i++)); do
    # In turns, and each goes first as often as the other.
    ((i % 2)) || one "$old" $((20000 + i % 2000)) >>"$here/old"
    one "$new" $((22000 + i % 2000)) "$@" >>"$here/new"
    ((i % 2 == 0)) || one "$old" $((20000 + i % 2000)) >>"$here/old"
done
for side in old new; do
    for column in 1 2; do
        sort -n -k$column,$column "$here/$side" | awk -v c=$column -v s=$side '{v[NR] = $c}
            END {printf "%s %s median %d, quarters %d to %d\n", s, c == 1 ? "us to PONG" : "KB resident",
                v[int((NR + 1) / 2)], v[int((NR + 3) / 4)], v[int((3 * NR + 1) / 4)]}'
    done
done
