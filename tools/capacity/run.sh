#!/usr/bin/env bash
# Measures the slopes behind docs/CAPACITY.md: `tools/capacity/run.sh BIN_DIR`.
# Prints tables and JSON lines. MASTICSHIFT_CAPACITY_ENTRIES lists the numbers
# of idle entries to measure, one run each.
set -euo pipefail

readonly bin="$(cd "${1:?usage: run.sh BIN_DIR}" && pwd)"
readonly entry_counts="${MASTICSHIFT_CAPACITY_ENTRIES:-8 32 96}"
# Not 127.0.0.1, which is the source address of outgoing connections: they could
# take a port before the entry binds it.
readonly entry_ip=127.0.0.2
readonly settle_s=8
readonly sample_s=10
readonly load_s=5
readonly change_s=4

work="$(mktemp -d)"
pids=()
entry_pids=()
operator_ports=()
caller_ports=()

stop_all() {
    rm -f "$work"/log.*
    if ((${#pids[@]})); then
        kill -KILL "${pids[@]}" 2>/dev/null || true
        wait "${pids[@]}" 2>/dev/null || true
    fi
    pids=()
    entry_pids=()
    operator_ports=()
    caller_ports=()
}

cleanup() {
    stop_all
    rm -rf "$work"
}
trap cleanup EXIT

# Starts a program in the background, with its output in the file $1 and its
# errors in $1.err.
start() {
    local output="$1"
    shift
    "$@" >"$output" 2>"$output.err" &
    pids+=("$!")
}

wait_for_line() {
    local file="$1" pattern="$2" i
    for ((i = 0; i < 300; ++i)); do
        grep -q "$pattern" "$file" 2>/dev/null && return
        sleep 0.1
    done
    echo "no line '$pattern' in $file within 30 s" >&2
    cat "$file.err" >&2
    return 1
}

start_platform() {
    start "$work/platform" "$bin/platform_standin" --listen=127.0.0.1:0
    wait_for_line "$work/platform" 'listens on'
    platform="$(sed -n 's/.*listens on //p' "$work/platform")"
}

# print_text CENTRES SERVICES
# Prints a configuration whose services use all endpoints that are listed on
# standard input.
print_text() {
    awk '{
        printf "[endpoint.e%d]\naddress = \"%s\"\ndata_centre = \"dc%d\"\n",
            NR, $1, NR % centres
        names = names "\"e" NR "\", "
    }
    END {
        for (i = 0; i < centres; ++i)
            printf "[data_centre.dc%d]\nregion = \"north\"\n", i
        for (i = 0; i < services; ++i)
            printf "[service.orderdesk%s]\nendpoints = [%s]\nrun_time_ms = 5\n",
                i ? i : "", names
    }' centres="$1" services="$2"
}

# Sets the VM list of the platform: the endpoints on standard input, all live.
list_vms() {
    awk '{ printf "%s{\"address\":\"%s\",\"data_centre\":\"dc%d\"," \
            "\"role\":\"endpoint\",\"state\":\"live\"}",
            (NR > 1 ? "," : "{\"vms\":["), $1, NR % 7 }
        END { print "]}" }' |
        curl -s --max-time 5 --data-binary @- "http://$platform/control" \
            >"$work/control"
    curl -s --max-time 5 "http://$platform/v1/vms" | wc -c >"$work/vms_bytes"
}

apply_text() {
    "$bin/masticshift" apply --platform="$platform" "$work/text.toml" \
        >"$work/apply" 2>&1 || { cat "$work/apply" >&2; return 1; }
}

# print_settings NUMBER CENTRES CALLER_PORT PEER_PORT OPERATOR_PORT PEERS
print_settings() {
    cat <<TEXT
[entry]
data_centre = "dc$(($1 % $2))"
caller_address = "$entry_ip:$3"
peer_address = "$entry_ip:$4"
operator_address = "$entry_ip:$5"
[platform]
address = "$platform"
[peers]
addresses = [$6]
[log]
path = "$work/log.$1"
TEXT
}

start_entries() {
    local count="$1" centres="$2" i peers=""
    local -a ports
    mapfile -t ports < <("$bin/capacity_ports" --ip="$entry_ip" --count=$((3 * count)))
    for ((i = 0; i < count; ++i)); do
        peers+="\"$entry_ip:${ports[3 * i + 1]}\","
    done
    for ((i = 0; i < count; ++i)); do
        print_settings "$i" "$centres" "${ports[@]:3 * i:3}" "$peers" \
            >"$work/entry.$i.toml"
        start "$work/entry.$i" "$bin/masticshiftd" \
            --settings="$work/entry.$i.toml"
        entry_pids+=("${pids[-1]}")
        caller_ports+=("${ports[3 * i]}")
        operator_ports+=("${ports[3 * i + 2]}")
    done
    for ((i = 0; i < count; ++i)); do
        wait_for_line "$work/entry.$i" ready
    done
}

metrics() {
    curl -s --max-time 5 "http://$entry_ip:$1/metrics"
}

# Processor time of a process so far, in microseconds. Uses schedstat, which
# counts nanoseconds, because /proc/PID/stat counts only clock ticks.
processor_us() {
    awk '{ sum += $1 } END { printf "%d\n", sum / 1000 }' \
        /proc/"$1"/task/*/schedstat
}

resident_kb() {
    awk '/^VmRSS/ { print $2 }' "/proc/$1/status"
}

# Prints for each entry: time, peer bytes, platform calls, processor time,
# resident memory.
sample_entries() {
    local i text
    for i in "${!entry_pids[@]}"; do
        text="$(metrics "${operator_ports[i]}")"
        echo "$EPOCHREALTIME" \
            "$(awk '/^masticshift_peer_sent_bytes_total/ { print $2 }' \
                <<<"$text")" \
            "$(awk '/kind="platform_call"/ { print $2 }' <<<"$text")" \
            "$(processor_us "${entry_pids[i]}")" \
            "$(resident_kb "${entry_pids[i]}")"
    done
}

measure_idle() {
    local count="$1"
    start_platform
    seq 790 | awk '{ printf "10.1.%d.%d:9101\n", $1 / 200, 10 + $1 % 200 }' \
        >"$work/endpoint_list"
    print_text 7 5 <"$work/endpoint_list" >"$work/text.toml"
    list_vms <"$work/endpoint_list"
    apply_text
    start_entries "$count" 7
    sleep "$settle_s"
    sample_entries >"$work/before"
    sleep "$sample_s"
    sample_entries >"$work/after"
    paste "$work/before" "$work/after" | awk -v count="$count" \
        -v list="$(cat "$work/vms_bytes")" -v text="$(wc -c <"$work/text.toml")" '
        { s = $6 - $1
          bytes = ($7 - $2) / s; calls = ($8 - $3) / s
          cpu = ($9 - $4) / s / 10000; kb = $10
          sum_bytes += bytes; sum_calls += calls; sum_cpu += cpu; sum_kb += kb
          if (bytes > max_bytes) max_bytes = bytes
          if (cpu > max_cpu) max_cpu = cpu
          if (kb > max_kb) max_kb = kb }
        END { printf "%-10d %10.0f %10.0f %10.2f %10.2f %10.1f %10.1f %8.2f\n",
                count, sum_bytes / NR, max_bytes, sum_cpu / NR, max_cpu,
                sum_kb / NR / 1024, max_kb / 1024, sum_calls / NR
              printf "{\"quantity\":\"idle entries\",\"entries\":%d," \
                "\"bytes_per_s\":%.0f,\"max_bytes_per_s\":%.0f," \
                "\"core_percent\":%.2f,\"max_core_percent\":%.2f," \
                "\"resident_mb\":%.1f,\"max_resident_mb\":%.1f," \
                "\"platform_calls_per_s\":%.2f,\"vm_list_bytes\":%d," \
                "\"text_bytes\":%d}\n",
                count, sum_bytes / NR, max_bytes, sum_cpu / NR, max_cpu,
                sum_kb / NR / 1024, max_kb / 1024, sum_calls / NR,
                list, text }'
    measure_change "$count"
    stop_all
}

# Applies a second revision and reads from the logs how long it takes until the
# last entry has it in force.
measure_change() {
    local count="$1" applied_us
    sed -i 's/run_time_ms = 5$/run_time_ms = 6/' "$work/text.toml"
    apply_text
    applied_us="${EPOCHREALTIME/[.,]/}"
    sleep "$change_s"
    cat "$work"/log.* | grep -F '"configuration_in_force"' |
        grep -F '"revision":2' | sed 's/.*"us":\([0-9]*\).*/\1/' |
        awk -v count="$count" -v applied="$applied_us" '
        { if ($1 > last) last = $1 }
        END { printf "{\"quantity\":\"revision in force\"," \
            "\"entries\":%d,\"have_it\":%d,\"last_after_ms\":%d}\n",
            count, NR, (last - applied) / 1000 }'
}

sum_messages() {
    awk '/^masticshift_messages_total/ && /task_|caller_/ { sum += $2 }
        END { print sum + 0 }' <<<"$1"
}

# measure_load RATE TASKS
measure_load() {
    local rate="$1" tasks="$2" before after us_before us_after log_before
    log_before="$(stat -c %s "$work/log.0")"
    before="$(sum_messages "$(metrics "${operator_ports[0]}")")"
    us_before="$(processor_us "${entry_pids[0]}")"
    "$bin/capacity_load" --entry="$entry_ip:${caller_ports[0]}" \
        --rate="$rate" --tasks="$tasks" --seconds="$load_s" >"$work/load" ||
        cat "$work/load" >&2
    us_after="$(processor_us "${entry_pids[0]}")"
    after="$(sum_messages "$(metrics "${operator_ports[0]}")")"
    awk -v rate="$rate" -v tasks="$tasks" -v seconds="$load_s" \
        -v us="$((us_after - us_before))" -v sent="$((after - before))" \
        -v log_bytes="$(($(stat -c %s "$work/log.0") - log_before))" \
        -v complete="$(sed 's/.*complete":\([0-9]*\).*/\1/' "$work/load")" '
        BEGIN { jobs = rate * seconds; all = jobs * tasks
            printf "%-10d %10d %10d %12.1f %12.1f %10.2f %12.0f\n", rate,
                tasks, complete, us / jobs, us / all, sent / jobs,
                log_bytes / all
            printf "{\"quantity\":\"load\",\"jobs_per_s\":%d,\"tasks\":%d," \
                "\"jobs\":%d,\"complete\":%d,\"us_per_job\":%.1f," \
                "\"us_per_task\":%.1f,\"messages_per_job\":%.2f," \
                "\"log_bytes_per_task\":%.0f}\n", rate, tasks, jobs, complete,
                us / jobs, us / all, sent / jobs, log_bytes / all }'
}

measure_loads() {
    local listen
    start_platform
    listen="$(printf '127.0.0.1:0,%.0s' {1..12})"
    start "$work/endpoints" "$bin/endpoint_standin" --listen="${listen%,}" \
        --run_ms=5
    wait_for_line "$work/endpoints" ready
    sed -n 's/^listening //p' "$work/endpoints" |
        print_text 1 1 >"$work/text.toml"
    apply_text
    start_entries 1 1
    sleep 3
    for tasks in 1 5 10 20 40; do
        measure_load 40 "$tasks"
    done
    for rate in 20 80; do
        measure_load "$rate" 10
    done
    stop_all
}

echo "== slopes within one process (capacity_slopes)"
"$bin/capacity_slopes"

echo "== idle entries on loopback, 790 endpoints, 5 services"
printf '%-10s %10s %10s %10s %10s %10s %10s %8s\n' entries bytes/s max \
    core_% max RSS_MB max table/s
for count in $entry_counts; do
    measure_idle "$count"
done

echo "== one entry under an open-loop load, 12 endpoints"
printf '%-10s %10s %10s %12s %12s %10s %12s\n' jobs/s tasks complete us/job \
    us/task msgs/job log_B/task
measure_loads
