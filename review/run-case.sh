# Runs one stand-in program as a case: `. run-case.sh FOLDER PROGRAM`, with TROUBLE set by the run.sh that calls it.
set -u
here=$(cd "$1" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/target/review/release/$2"
[ -x "$program" ] || { echo "run review/build.sh first" >&2; exit 2; }
[ -x "$root/target/release/rookspoke" ] || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
work=$(mktemp -d) || exit 2
started=

# Ends what this run started, however the run itself ends. A process that works in this run's folder is its own.
end_all() {
    [ -n "$started" ] && kill "$started" 2>/dev/null && wait "$started" 2>/dev/null
    if [ -f "$work/pids" ]; then
        while read -r pid; do
            case $(readlink "/proc/$pid/cwd" 2>/dev/null) in "$work"/*) kill -KILL "$pid" 2>/dev/null ;; esac
        done <"$work/pids"
    fi
    [ -z "${KEEP_LOGS:-}" ] || cp -r "$work" "$KEEP_LOGS"
    rm -rf "$work"
}
trap end_all EXIT
trap 'exit 2' INT TERM HUP

export REVIEW_ROOT="$root" REVIEW_WORK="$work" REVIEW_RECORD="$here/record.txt"
export TROUBLE SEED="${SEED:-1}"
timeout 118 "$program" &
started=$!
wait "$started"
code=$?
started=
# A stand-in that ends in any other way than these two could not run its case.
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
