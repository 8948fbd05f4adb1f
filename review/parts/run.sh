# Read by run.sh of each case: plays case.py beside it. Exits 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0: the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x .venv/bin/python ] || { echo "not run: no build; run the build of the deploy file first" >&2; exit 2; }
.venv/bin/python "$here/case.py" &
child=$!
trap 'kill -TERM "$child" 2>/dev/null; wait "$child"; exit 2' TERM INT HUP
wait "$child"
case $? in
  0) exit 0 ;;
  10) exit 1 ;; # case.py says so itself: a fault of its own is no broken rule
  *) exit 2 ;;
esac
