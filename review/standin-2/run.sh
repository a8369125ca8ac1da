#!/usr/bin/env bash
# Runs a case: run.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
set -u
case=$1
folder=$(cd "$2" && pwd)
cd "$folder/../.." || exit 2
if [ ! -x target/release/filbertflow-sidecar ] || [ ! -x target/review-2/standin ]; then
    echo "build with the command of deploy/system.toml and with review/build-2.sh first" >&2
    exit 2
fi
temporary=$(mktemp -d) || exit 2
export TMPDIR=$temporary PIDS=$temporary/pids
harness=
end() {
    [ -n "$harness" ] && kill "$harness" 2>/dev/null
    # Only processes that are left of this run.
    [ -f "$PIDS" ] && while read -r pid; do
        [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = filbertflow-sid ] && kill -KILL "$pid" 2>/dev/null
    done < "$PIDS"
    rm -rf "$temporary"
}
trap end EXIT
trap 'exit 2' INT TERM
timeout 118 target/review-2/standin "$case" . "$folder/record.txt" &
harness=$!
wait "$harness"
status=$?
harness=
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
