#!/usr/bin/env bash
# Runs three entries, six endpoints and the platform stand-in on loopback,
# submits a job, and checks the histories. usage: run.sh BIN_DIR
set -euo pipefail

readonly bin="$(cd "${1:?usage: run.sh BIN_DIR}" && pwd)"
readonly samples="$(cd "$(dirname "$0")/../.." && pwd)/samples"
readonly work="$(mktemp -d)"

readonly platform=127.0.0.1:8001
readonly data_centres=(ikeja apapa ibadan)
readonly callers=(127.0.0.1:8101 127.0.0.1:8102 127.0.0.1:8103)
readonly peers=(127.0.0.1:8201 127.0.0.1:8202 127.0.0.1:8203)
readonly operators=(127.0.0.1:8301 127.0.0.1:8302 127.0.0.1:8303)
readonly task_count=50
readonly wait_steps=200
readonly wait_step_s=0.1

# Ids of the started processes that have not been stopped yet.
entry_pids=()
other_pids=()

fail() {
    echo "demo: failed: $*" >&2
    exit 1
}

is_alive() {
    kill -0 "$1" 2>/dev/null
}

# Waits for each given process to end, and kills it after 20 s.
await_end() {
    local pid step
    for pid in "$@"; do
        for ((step = 0; step < wait_steps; ++step)); do
            is_alive "$pid" || break
            sleep "$wait_step_s"
        done
        if is_alive "$pid"; then
            kill -KILL "$pid"
        fi
        wait "$pid" 2>/dev/null || true
    done
}

stop() {
    local pid
    for pid in "$@"; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    await_end "$@"
}

clean_up() {
    local status=$?
    trap - EXIT
    if ((status != 0)); then
        tail -n 5 "$work"/*.out >&2 || true
    fi
    stop "${entry_pids[@]}" "${other_pids[@]}"
    rm -rf "$work"
    exit "$status"
}

# Waits until a line of the file contains the text; fails after 20 s.
await_line() {
    local file=$1 text=$2 step
    for ((step = 0; step < wait_steps; ++step)); do
        if grep -qF -- "$text" "$file" 2>/dev/null; then
            return
        fi
        sleep "$wait_step_s"
    done
    fail "no line '$text' in $(basename "$file") within 20 s"
}

start_platform() {
    "$bin/platform_standin" --listen "$platform" \
        --history "$work/platform.history" >"$work/platform.out" 2>&1 &
    other_pids+=($!)
    await_line "$work/platform.out" "listens on"
}

# Each process listens on two addresses: an endpoint of orderdesk.toml and one
# of bookings.toml.
start_endpoints() {
    local i
    for i in 1 2 3 4 5 6; do
        "$bin/endpoint_standin" --name "endpoint-$i" \
            --listen "127.0.0.1:910$i,127.0.0.1:920$i" \
            --history "$work/endpoint$i.history" \
            >"$work/endpoint$i.out" 2>&1 &
        other_pids+=($!)
    done
    for i in 1 2 3 4 5 6; do
        await_line "$work/endpoint$i.out" ready
    done
}

write_settings() {
    local i=$1
    cat >"$work/entry$i.toml" <<TOML
[entry]
data_centre = "${data_centres[i]}"
caller_address = "${callers[i]}"
peer_address = "${peers[i]}"
operator_address = "${operators[i]}"

[platform]
address = "$platform"

[peers]
addresses = ["${peers[0]}", "${peers[1]}", "${peers[2]}"]

[log]
path = "$work/entry$i.history"
TOML
}

start_entries() {
    local i
    for i in 0 1 2; do
        write_settings "$i"
        "$bin/masticshiftd" --settings "$work/entry$i.toml" \
            >"$work/entry$i.out" 2>&1 &
        entry_pids+=($!)
    done
    for i in 0 1 2; do
        await_line "$work/entry$i.out" ready
    done
}

# Applies a sample and waits until it is in force at every entry.
apply() {
    local sample=$1 revision=$2 i
    "$bin/masticshift" apply "$samples/$sample" --platform "$platform"
    for i in 0 1 2; do
        await_line "$work/entry$i.history" \
            "\"event\":\"configuration_in_force\",\"revision\":$revision"
    done
    echo "revision $revision ($sample) is in force at three entries"
}

write_tasks() {
    local i separator=""
    printf '['
    for ((i = 1; i <= task_count; ++i)); do
        printf '%s{"input": {"sku": "chalk-%d", "run_ms": %d}}' \
            "$separator" "$i" "$((40 + i))"
        separator=", "
    done
    printf ']\n'
}

# submit ENTRY SERVICE ANSWER_FILE [ARGUMENT...]
# Submits the tasks to one entry and writes the answer to a file. Further
# arguments are passed to the command.
submit() {
    local entry=$1 service=$2 answer=$3
    shift 3
    "$bin/masticshift" submit --json --entry "$entry" --service "$service" \
        --tasks "$work/tasks.json" "$@" >"$answer" || {
        cat "$answer" >&2
        fail "the job submitted to $entry for $service did not succeed"
    }
}

id_of() {
    sed -n 's/.*"id":"\([^"]*\)".*/\1/p' "$1"
}

# Prints how many task starts of a job id the endpoints recorded.
count_starts() {
    cat "$work"/endpoint*.history | grep -F '"run_started"' |
        grep -cF "\"task\":\"$1/" || true
}

run_job() {
    local id
    submit "${callers[0]}" orderdesk "$work/first.json"
    id=$(id_of "$work/first.json")
    echo "job $id was answered by ${callers[0]}:"
    cut -c 1-300 "$work/first.json"
    submit "${callers[1]}" orderdesk "$work/second.json" --id "$id"
    cmp -s "$work/first.json" "$work/second.json" ||
        fail "the resubmission of job $id returned a different answer"
    echo "submitted again through ${callers[1]}: the same answer"
    (($(count_starts "$id") == task_count)) ||
        fail "$(count_starts "$id") task starts instead of $task_count"
    echo "each of the $task_count tasks was started once"
}

run_booking() {
    submit "${callers[2]}" slot_finder "$work/booking.json"
    echo "job $(id_of "$work/booking.json") was answered by ${callers[2]}"
}

check_histories() {
    "$bin/history_check" --minimum "1:$((2 * task_count)),7:3,8:6" \
        "$work"/entry*.history "$work"/endpoint*.history \
        "$work/platform.history"
}

main() {
    trap clean_up EXIT
    trap 'exit 130' INT TERM
    echo "starting the platform stand-in, six endpoints and three entries"
    start_platform
    start_endpoints
    start_entries
    write_tasks >"$work/tasks.json"
    apply orderdesk.toml 1
    run_job
    apply bookings.toml 2
    run_booking
    echo "stopping the entries gracefully"
    stop "${entry_pids[@]}"
    check_histories
    stop "${other_pids[@]}"
    entry_pids=()
    other_pids=()
    echo "demo: passed"
}

main
