#!/bin/sh
# Runs the driver $1 of the case in the folder $2, and ends every process that it leaves.
cd "$(dirname "$0")/../.." || exit 2
driver=target/review-2/release/$1
if [ ! -x "$driver" ] || [ ! -x target/release/jacinthmoor-host ]; then
    echo "build the deploy file's programs and run review/build-2.sh first" >&2
    exit 2
fi
REVIEW_PIDS=$(mktemp) || exit 2
export REVIEW_PIDS
end() {
    [ -z "${child:-}" ] || kill -KILL "$child" 2>/dev/null
    while read -r id; do
        [ "$(cat "/proc/$id/comm" 2>/dev/null)" = jacinthmoor-hos ] && kill -KILL "$id" 2>/dev/null
    done < "$REVIEW_PIDS"
    rm -f "$REVIEW_PIDS"
}
trap 'end; exit 2' INT TERM HUP
"$driver" "review/$2/record.txt" &
child=$!
wait "$child"
status=$?
child=
end
exit $status
