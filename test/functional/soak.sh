# Failures guarded against: under processes that are frozen, killed or stopped and
# paths that are cut, a request that must not be repeated runs twice, or runs after
# an answer that says that it did not; a withdrawn key works on; requests are not
# served any more after the faults. scripts/soak.sh runs other seeds.
. test/functional/lib_tools.sh
# 102: SIGHUP ended a gate that had just been started.
seeds="1 2 102"
pids=
# shellcheck disable=SC2086
trap 'kill $pids 2>/dev/null' EXIT
for seed in $seeds; do
	python3 test/functional/soak.py "$BUILD" "$work/$seed" "$seed" \
	    --seconds 10 >"$work/$seed.out" 2>"$work/$seed.err" &
	pids="$pids $!"
done
# shellcheck disable=SC2086
wait $pids
for seed in $seeds; do
	cat "$work/$seed.out"
	cat "$work/$seed.err" >&2
done
