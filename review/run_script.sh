#!/usr/bin/env bash
# Runs the program of a case: run_script.sh FOLDER PROGRAM on|off [ARGUMENT...], with or without the
# disruption. Exits with 0 if the rule held, with 1 if it was broken and with 2 if the case couldn't
# run.
set -uo pipefail
folder="$(cd "$1" && pwd)"
program="$2"
shift 2
cd "$(dirname "$0")/.."

work="$(mktemp -d)"
child=""
# Entries that are left if the program was ended from outside. An id counts only while its process
# has the settings of this run.
finish() {
    if [ -n "$child" ]; then
        kill -TERM "$child" 2>/dev/null
        wait "$child" 2>/dev/null
    fi
    if [ -f "$work/pids" ]; then
        while read -r pid; do
            if grep -qzF "MASTICSHIFT_CONFIG=$work/" "/proc/$pid/environ" 2>/dev/null; then
                kill -KILL "$pid" 2>/dev/null
            fi
        done <"$work/pids"
    fi
    rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM

timeout 115 "out/review/$program" "$work" target/bin/masticshiftd "$@" &
child=$!
wait "$child"
result=$?
child=""
[ -f "$work/record.txt" ] && cp "$work/record.txt" "$folder/record.txt"
if [ -n "${KEEP_LOGS:-}" ]; then
    mkdir -p "$KEEP_LOGS"
    cp "$work"/*.log "$work"/*.toml "$KEEP_LOGS"
fi
if [ "$result" -ne 0 ] && [ "$result" -ne 1 ]; then
    exit 2
fi
exit "$result"
