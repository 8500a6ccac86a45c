#!/bin/sh
# Starts the stand-ins and daemons of the demo, runs the callers, and ends each process
# that it started by its own id.
set -u
cd "$(dirname "$0")/.." || exit 1
bin=$PWD/$VENV/bin
folder=$(mktemp -d)
export PYTHONPATH="$PWD/src:$PWD/examples"
pids=

cleanup() {
    for pid in $pids; do kill -TERM "$pid" 2>/dev/null; done
    for pid in $pids; do wait "$pid" 2>/dev/null; done
    if [ -z "${KEEP:-}" ]; then rm -rf "$folder"; else echo "demo logs=$folder" >&2; fi
}
trap cleanup EXIT
trap 'exit 130' INT TERM

start() {
    name=$1
    shift
    "$@" >"$folder/$name.out" 2>&1 &
    pids="$pids $!"
    eval "pid_$(echo "$name" | tr -c 'a-z0-9\n' _)=$!"
}

"$bin/python" examples/demo_fleet.py "$SEED" "$folder" || exit 1
number=0
while read -r address; do
    number=$((number + 1))
    start "log-$number" "$bin/wagtailstep-fakes" log --address="$address"
done <"$folder/logs"
for file in "$folder"/*.backends.json; do
    start "$(basename "$file" .json)" "$bin/wagtailstep-fakes" backends "$file"
done
while read -r daemon; do
    start "daemon-$daemon" "$bin/wagtailstep-daemon" run "$folder/$daemon.json"
done <"$folder/daemons"
echo "demo started=$(echo "$pids" | wc -w)" >&2

set -- addis hokkaido
while read -r address; do
    for attempt in 1 2 3 4 5 6 7 8; do
        "$bin/wagtailstep-table" import "examples/tables/$1.csv" --log="$address" \
            --author=demo --reason="shipped table" >"$folder/import-$1.out" 2>&1 && break
        sleep 1
    done
    shift
done <"$folder/logs"

(
    while [ ! -f "$folder/exit-daemon" ]; do
        [ -d "$folder" ] || exit 0
        sleep 0.2
    done
    eval "kill -TERM \$pid_daemon_$(tr -c 'a-z0-9\n' _ <"$folder/exit-daemon")"
) &
pids="$pids $!"

"$bin/python" examples/demo_run.py "$SEED" "$folder"
code=$?
exit $code
