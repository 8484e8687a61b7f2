#!/usr/bin/env bash
# A worker crashes while it is idle and starts again under its id. A job is
# submitted, its task starts on the new process, and the link to that worker is
# cut. Broken: the task starts on another worker while it still runs there.
# TROUBLE=0: no crash and no cut.
set -euo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
source review/standin-2/deployment.sh

readonly down_s=1.5
readonly cut_s=3
readonly job=00000000000007b2

start_store
take_port
first_port="$port"
take_port
link_port="$port"
"$world" proxy --port "$link_port" --to "127.0.0.1:$first_port" &
link=$!
processes+=("$link")
start_worker w1 a "$first_port" z1 --address "127.0.0.1:$link_port"
first="$started"
for worker in w2 w3 w4 w5 w6 w7 w8; do
    take_port
    start_worker "$worker" a "$port" z1
done
start_entry entry-1 z1
first_front="$front"
start_entry entry-2 z1 "$peer"
sleep 3

# An idle deployment uses the first worker. Its speed is learnt.
for number in 1 2 3; do
    "$world" call --entry "$first_front" --id "00000000000007a$number" \
        --ms 200 --record "$record" || true
done
[ "$(grep -c "answered POST .*status=200" "$record")" = 3 ] ||
    cannot_run "the jobs before the crash were not done"
grep -q "start worker=w1 " "$record" || cannot_run "w1 was not used"
sleep 1
if [ "${TROUBLE:-1}" = 1 ]; then
    kill -KILL "$first"
    wait "$first" 2>/dev/null || true
    echo "$("$world" clock) crash worker=w1" >>"$record"
    sleep "$down_s"
    start_worker w1 a "$first_port" z1 --address "127.0.0.1:$link_port"
    for _ in $(seq 500); do
        [ "$(grep -c "registered worker=w1" "$record")" = 2 ] && break
        sleep 0.01
    done
    [ "$(grep -c "registered worker=w1" "$record")" = 2 ] ||
        cannot_run "the worker did not come back"
fi
"$world" call --entry "$first_front" --id "$job" --ms 1500 --timeout 6000 \
    --record "$record" &
caller=$!
processes+=("$caller")
for _ in $(seq 200); do
    grep -q "start .*task=$job" "$record" && break
    sleep 0.005
done
if [ "${TROUBLE:-1}" = 1 ]; then
    kill -STOP "$link"
    echo "$("$world" clock) cut worker=w1" >>"$record"
    sleep "$cut_s"
    kill -CONT "$link"
    echo "$("$world" clock) healed worker=w1" >>"$record"
fi
wait "$caller" || true
sleep 1

grep -q "answered POST job=$job status=200" "$record" ||
    echo "note: the job was not answered with 200" >>"$record"
twice="$(awk -v job="$job" '
    index($0, "task=" job) == 0 { next }
    { split($0, fields, "worker="); split(fields[2], name, " ") }
    $2 == "start" {
        for (other in running)
            if (other != name[1])
                print "started at " $1 " on " name[1] ", while it runs on " other
        running[name[1]] = $1
    }
    $2 == "end" { delete running[name[1]] }' "$record")"
if [ -n "$twice" ]; then
    echo "broken: $twice" | tee -a "$record"
    grep "task=$job" "$record"
    exit 1
fi
echo "held: no two runs at the same time" | tee -a "$record"
