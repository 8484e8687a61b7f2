#!/usr/bin/env bash
# Runs one case of the third review: run_case_3.sh CASE FOLDER
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder="$(cd "$2" && pwd)"
cd "$(dirname "$0")/.." || exit 2

readonly program=target/bin/masticshiftd
readonly standin=target/review-3/standin
if [ ! -x "$program" ] || [ ! -x "$standin" ]; then
    echo "build first: the build line of deploy/system.toml, review/build-3.sh" >&2
    exit 2
fi
work="$(mktemp -d)" || exit 2
trap 'rm -rf "$work"' EXIT
timeout 115 "$standin" "$1" "$program" "$work" "$folder/record.txt" \
    "${TROUBLE:-1}"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
