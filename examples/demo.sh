#!/bin/sh
# Starts the simulated platform services and the daemons of the demo, runs the demo
# traffic, and on exit stops each process that it started, by process id.
set -u
cd "$(dirname "$0")/.." || exit 1
bin=$PWD/$VENV/bin
folder=$(mktemp -d)
export PYTHONPATH="$PWD/src:$PWD/examples"
pids=

cleanup() {
    for pid in $pids; do kill -CONT "$pid" 2>/dev/null; done
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

# demo_run.py requests signals by writing files of one line: a signal name and a daemon
# identifier. The loop ends when the folder is removed or cleanup stops it.
(
    while [ -d "$folder" ]; do
        for file in "$folder"/signal-*; do
            [ -f "$file" ] || continue
            read -r signal daemon <"$file"
            rm "$file"
            eval "kill -$signal \$pid_daemon_$(echo "$daemon" | tr -c 'a-z0-9\n' _)"
        done
        sleep 0.1
    done
) &
pids="$pids $!"

"$bin/python" examples/demo_run.py "$SEED" "$folder" "${CHAOS:-0}"
code=$?
exit $code
