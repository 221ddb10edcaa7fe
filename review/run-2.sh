#!/usr/bin/env bash
# Run a case of review/6 to review/10 with the stand-ins: run-2.sh CASE DIR. Used by run.sh there.
set -uo pipefail
cd "$(dirname "$0")/.."
[[ -x target/release/oleanderpass && -x target/review-2/stand_ins ]] || exit 2
temp=$(mktemp -d)
stop() {
    trap - EXIT INT TERM
    # The stand-ins end what they start; this covers their own end by a signal.
    for pid in $(cat "$temp"/*.pid 2>/dev/null); do
        kill -KILL "$pid" 2>/dev/null
    done
    rm -rf "$temp"
}
trap stop EXIT
trap 'exit 2' INT TERM
timeout -s KILL 110 target/review-2/stand_ins "$1" "$2" "$temp"
code=$?
((code <= 1)) || code=2
exit "$code"
