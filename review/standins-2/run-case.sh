#!/bin/bash
# Runs one case: run-case.sh FOLDER NAME. The director is started with the command of the deploy file.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
case_folder=$(cd "$1" && pwd)
cd "$case_folder/../.." || exit 2
RUN=$(sed -n 's/^run *= *"\(.*\)".*/\1/p' deploy/balancer.toml)
FOLDER=$(mktemp -d) || exit 2
RECORD="$case_folder/record.txt"
export RUN FOLDER RECORD
unset GW_CONFIG GW_NAME GW_LISTEN GW_DISCOVERY WINGFOLD_OWN
end() {
    [ -n "$cases" ] && kill -KILL "$cases" 2>/dev/null
    # Only a director that this script started, and that still runs from this folder's configuration.
    if [ -s "$FOLDER/director.pid" ]; then
        pid=$(cat "$FOLDER/director.pid")
        grep -qzx "GW_CONFIG=$FOLDER/config.json" "/proc/$pid/environ" 2>/dev/null && kill -KILL "$pid" 2>/dev/null
    fi
    rm -rf "$FOLDER"
}
trap end EXIT
trap 'exit 2' INT TERM
[ -x target/review-2/cases ] && [ -n "$RUN" ] || { echo "not built: see review/build-2.sh" >&2; exit 2; }
rm -f "$RECORD"
target/review-2/cases "$2" &
cases=$!
wait "$cases"
code=$?
cases=
case $code in 0|1) exit "$code" ;; *) exit 2 ;; esac
