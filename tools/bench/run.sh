#!/usr/bin/env bash
# Runs the load scenarios against real entries and endpoint stand-ins on
# loopback. Prints a table and writes a report for each case.
# usage: run.sh BIN_DIR [OUTPUT_DIR [CASE]]
set -euo pipefail

readonly bin="$(cd "${1:?usage: run.sh BIN_DIR [OUTPUT_DIR [CASE]]}" && pwd)"
readonly output="${2:-$(dirname "$bin")/bench}"
readonly only="${3:-}"
readonly work="$(mktemp -d)"
mkdir -p "$output"

readonly host=127.0.9.1
readonly platform=$host:8001
readonly wait_steps=200
readonly wait_step_s=0.1
readonly slots=8
readonly seed="${MASTICSHIFT_BENCH_SEED:-20261204}"
readonly run_ms="${MASTICSHIFT_BENCH_RUN_MS:-12000}"
readonly warm_up_ms=3000
readonly heartbeat_ms="${MASTICSHIFT_BENCH_HEARTBEAT_MS:-500}"
readonly loan_ms="${MASTICSHIFT_BENCH_LOAN_MS:-200}"

pids=()
entry_pids=()

stop_all() {
    local pid step
    for pid in "${pids[@]}"; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    for pid in "${pids[@]}"; do
        for ((step = 0; step < wait_steps; ++step)); do
            kill -0 "$pid" 2>/dev/null || break
            sleep "$wait_step_s"
        done
        kill -KILL "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    pids=()
    entry_pids=()
}

clean_up() {
    stop_all
    rm -rf "$work"
}
trap clean_up EXIT

await_line() {
    local file=$1 text=$2 step
    for ((step = 0; step < wait_steps; ++step)); do
        grep -qF -- "$text" "$file" 2>/dev/null && return
        sleep "$wait_step_s"
    done
    echo "bench: no line '$text' in $(basename "$file") within 20 s" >&2
    exit 1
}

# write_text ENDPOINTS DATA_CENTRES
# Prints a configuration with that many endpoints, spread over the data centres.
write_text() {
    local endpoints=$1 data_centres=$2 i
    for ((i = 0; i < data_centres; ++i)); do
        printf '[data_centre.dc%d]\nregion = "r"\n' "$i"
    done
    local names=""
    for ((i = 0; i < endpoints; ++i)); do
        printf '[endpoint.e%d]\naddress = "%s:%d"\ndata_centre = "dc%d"\n' \
            "$i" "$host" "$((9000 + i))" "$((i % data_centres))"
        printf 'slots = %d\n' "$slots"
        names+="\"e$i\", "
    done
    printf '[service.bench]\nendpoints = [%s]\n' "$names"
    printf 'run_time_ms = 100\ntimeout_ms = 30000\n'
}

# start_endpoints ENDPOINTS SPEEDS
# SPEEDS is a list separated by commas, applied to the endpoints in turn.
start_endpoints() {
    local endpoints=$1 speeds=$2 i listen="" speed=""
    local -a each
    IFS=, read -ra each <<<"$speeds"
    for ((i = 0; i < endpoints; ++i)); do
        listen+="${listen:+,}$host:$((9000 + i))"
        speed+="${speed:+,}${each[i % ${#each[@]}]}"
    done
    "$bin/endpoint_standin" --listen "$listen" --speed "$speed" \
        --slots "$slots" >"$work/endpoints.out" 2>&1 &
    pids+=($!)
    await_line "$work/endpoints.out" ready
}

start_entries() {
    local entries=$1 data_centres=$2 policy=$3 i peers=""
    for ((i = 0; i < entries; ++i)); do
        peers+="\"$host:$((8200 + i))\", "
    done
    for ((i = 0; i < entries; ++i)); do
        cat >"$work/entry$i.toml" <<TOML
[entry]
data_centre = "dc$((i % data_centres))"
caller_address = "$host:$((8100 + i))"
peer_address = "$host:$((8200 + i))"
operator_address = "$host:$((8300 + i))"
[platform]
address = "$platform"
[peers]
addresses = [$peers]
heartbeat_interval_ms = $heartbeat_ms
[placement]
policy = "$policy"
loan_ms = $loan_ms
[log]
path = "$work/entry$i.log"
TOML
        "$bin/masticshiftd" --settings "$work/entry$i.toml" \
            >"$work/entry$i.out" 2>&1 &
        pids+=($!)
        entry_pids+=($!)
    done
    for ((i = 0; i < entries; ++i)); do
        await_line "$work/entry$i.log" '"configuration_in_force"'
    done
}

# Processor time of the first entry, in clock ticks.
processor_ticks() {
    awk '{print $14 + $15}' "/proc/${entry_pids[0]}/stat"
}

# Resident memory of the first entry, in KB.
resident_kb() {
    awk '/VmRSS/ {print $2}' "/proc/${entry_pids[0]}/status"
}

write_scenario() {
    local rate=$1 tasks=$2 mean=$3 shape=$4 weights=$5 fastest=$6 extra=$7
    local i=0 weight
    printf 'seed = %d\nservice = "bench"\ntasks_per_job = %d\n' \
        "$seed" "$tasks"
    printf 'jobs_per_s = %s\nrun_for_ms = %d\nwarm_up_ms = %d\n' \
        "$rate" "$run_ms" "$warm_up_ms"
    printf 'timeout_ms = 30000\nfastest_speed = %s\n' "$fastest"
    printf '[run_time]\nshape = "%s"\nmean_ms = %s\n' "$shape" "$mean"
    for weight in ${weights//,/ }; do
        printf '[[entry]]\naddress = "%s:%d"\n' "$host" "$((8100 + i))"
        printf 'operator_address = "%s:%d"\nweight = %s\n' \
            "$host" "$((8300 + i))" "$weight"
        i=$((i + 1))
    done
    printf '%b' "$extra"
}

# run_case NAME POLICY DATA_CENTRES ENDPOINTS SPEEDS FASTEST WEIGHTS RATE
#          TASKS MEAN_MS SHAPE [EXTRA_TOML]
run_case() {
    local name=$1 policy=$2 data_centres=$3 endpoints=$4 speeds=$5
    local fastest=$6 weights=$7 rate=$8 tasks=$9
    shift 9
    local mean=$1 shape=$2 extra=${3:-}
    [[ -z "$only" || "$name" == "$only" ]] || return 0
    local entries before after kb
    entries=$(tr ',' '\n' <<<"$weights" | wc -l)
    rm -f "$work"/*
    "$bin/platform_standin" --listen "$platform" >"$work/platform.out" 2>&1 &
    pids+=($!)
    await_line "$work/platform.out" "listens on"
    start_endpoints "$endpoints" "$speeds"
    write_text "$endpoints" "$data_centres" >"$work/text.toml"
    "$bin/masticshift" apply "$work/text.toml" --platform "$platform" \
        >"$work/apply.out"
    start_entries "$entries" "$data_centres" "$policy"
    write_scenario "$rate" "$tasks" "$mean" "$shape" "$weights" "$fastest" \
        "$extra" >"$output/$name.toml"
    before=$(processor_ticks)
    "$bin/masticshift-load" "$output/$name.toml" --summary "$name" \
        --report "$output/$name.json" --html "$output/$name.html"
    after=$(processor_ticks)
    kb=$(resident_kb)
    printf '%-24s first entry: %d ms of processor time, %d KB resident\n' \
        "" "$(((after - before) * 1000 / $(getconf CLK_TCK)))" "$kb"
    stop_all
}

readonly mixed=2,1.5,1.25,1,1,0.75,0.5,0.5
readonly shares=50,30,20

main() {
    # Full load with the mixed speeds: 16 endpoints with 8 slots and a mean
    # speed of 1.06 run 1,360 tasks of 100 ms per second.
    run_case added_half_load lending 1 16 1 1 "$shares" 1280 1 50 constant
    run_case one_entry_5000 lending 1 48 1 1 100 100 50 50 constant
    run_case mixed_50_lending lending 1 16 "$mixed" 2 "$shares" 68 10 100 \
        exponential
    run_case mixed_80_one_queue lending 1 16 "$mixed" 2 100 109 10 100 \
        exponential
    run_case mixed_80_lending lending 1 16 "$mixed" 2 "$shares" 109 10 100 \
        exponential
    run_case mixed_80_fast lending_fast 1 16 "$mixed" 2 "$shares" 109 10 100 \
        exponential
    run_case mixed_80_eager lending_eager 1 16 "$mixed" 2 "$shares" 109 10 \
        100 exponential
    run_case mixed_80_shares_fifo fixed_share_fifo 1 16 "$mixed" 2 "$shares" \
        109 10 100 exponential
    run_case three_centres_50 lending 3 18 "$mixed" 2 "$shares" 76 10 100 \
        exponential
    run_case burst lending 1 16 "$mixed" 2 "$shares" 54 10 100 exponential \
        '[[phase]]\nfrom_ms = 6000\nto_ms = 7000\nrate_factor = 4.0\n'
    run_case failing_endpoint lending 1 16 1 1 "$shares" 640 1 100 constant \
        "[[action]]\nat_ms = 2000\nkind = \"post\"\naddress = \"$host:9000\"\npath = \"/control\"\nbody = '{\"fail\": true}'\n"
    run_case cancel_wave lending 1 16 "$mixed" 2 "$shares" 68 10 100 \
        exponential '[[action]]\nat_ms = 6000\nkind = "cancel_wave"\npart = 0.5\n'
}

main
