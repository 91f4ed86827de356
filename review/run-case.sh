# Runs one stand-in program as a case: `. run-case.sh FOLDER PROGRAM`.
set -u
here=$(cd "$1" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/review/standins/target/release/$2"
[ -x "$program" ] || { echo "run review/build.sh first" >&2; exit 2; }
[ -x "$root/target/release/rookspoke" ] || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
trap 'exit 2' INT TERM
export REVIEW_ROOT="$root" REVIEW_WORK="$work" REVIEW_RECORD="$here/record.txt"
export TROUBLE="${TROUBLE:-1}" SEED="${SEED:-1}"
"$program"
code=$?
# A stand-in that ends in any other way than these three could not run its case.
case $code in 0 | 1) ;; *) code=2 ;; esac
if [ -n "${KEEP_LOGS:-}" ]; then cp -r "$work" "$KEEP_LOGS"; fi
exit $code
