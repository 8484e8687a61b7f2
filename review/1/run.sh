#!/usr/bin/env bash
# The links between two zones are cut for 350 ms while jobs are on their way.
# TROUBLE=0 does the same without the disruption.
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
disruption=on
if [ "${TROUBLE:-1}" = 0 ]; then
    disruption=off
fi
exec "$here/../run_script.sh" "$here" short_cut "$disruption"
