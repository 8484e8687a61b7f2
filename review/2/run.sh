#!/usr/bin/env bash
# An entry is frozen for 4 s while jobs are sent to it.
# TROUBLE=0 does the same without the disruption.
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
disruption=on
if [ "${TROUBLE:-1}" = 0 ]; then
    disruption=off
fi
exec "$here/../run_script.sh" "$here" frozen_entry "$disruption"
