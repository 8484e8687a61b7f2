# Shared by the scripts: starts a small deployment on loopback, ends it, and
# keeps the record. To be sourced from the root of the source tree, with
# `folder` set to the folder of the case.

world=target/review-2/world_standin
program=target/bin/masticshiftd
scratch="$(mktemp -d)"
record="$folder/record.txt"
processes=()

end_all() {
    for process in "${processes[@]}"; do
        kill -CONT "$process" 2>/dev/null || true
        kill -KILL "$process" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$scratch"
}
trap end_all EXIT
# A command that fails says nothing about the rule.
trap 'exit 2' ERR

cannot_run() {
    echo "the case could not run: $1" >&2
    exit 2
}

now_ms() {
    date +%s%3N
}

[ -x "$world" ] || cannot_run "run review/build-2.sh first"
[ -x "$program" ] || cannot_run "run the build of the deploy file first"
: >"$record"
mapfile -t ports < <("$world" ports --count 40)
next_port=0

# Sets `port` to a free port.
take_port() {
    port="${ports[$next_port]}"
    next_port=$((next_port + 1))
}

start_store() {
    take_port
    store="127.0.0.1:$port"
    "$world" store --port "$port" --record "$record" &
    processes+=($!)
    for _ in $(seq 50); do
        "$world" configure --store "$store" 2>/dev/null && return
        sleep 0.1
    done
    cannot_run "the store does not answer"
}

# start_worker ID KIND PORT ZONE [OPTION...]; sets `started` to its process id.
start_worker() {
    "$world" worker --id "$1" --kind "$2" --port "$3" --zone "$4" \
        --store "$store" --record "$record" "${@:5}" &
    started=$!
    processes+=("$started")
}

# start_entry NAME ZONE SEED; sets `front`, `peer` and `started`.
start_entry() {
    local caller ready metrics
    take_port; caller="127.0.0.1:$port"
    take_port; ready="127.0.0.1:$port"
    take_port; peer="127.0.0.1:$port"
    take_port; metrics="127.0.0.1:$port"
    cat >"$scratch/$1.toml" <<TOML
[gateway]
name = "$1"
data_centre = "$2"
caller_address = "$caller"
ready_address = "$ready"
peer_address = "$peer"
metrics_address = "$metrics"
processors = 0.25

[peers]
addresses = ["${3:-$peer}"]

[store]
address = "$store"

[bounds]
longest_lease_ms = 1000
remote_factor = 1.5
grace_seconds = 6

[log]
path = "stdout"
TOML
    MASTICSHIFT_CONFIG="$scratch/$1.toml" "$program" >"$scratch/$1.log" &
    started=$!
    processes+=("$started")
    front="$caller"
    for _ in $(seq 100); do
        "$world" ready --entry "$ready" 2>/dev/null && return
        sleep 0.1
    done
    cannot_run "$1 does not become ready"
}
