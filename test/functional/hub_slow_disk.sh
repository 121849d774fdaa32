# Failures guarded against: hubs whose disks are slow elect no leader, or a hub
# whose disk hangs stays the leader, so that nothing is acknowledged.
. test/functional/lib_tools.sh
cc -shared -fPIC -o "$work/slow_sync.so" test/functional/slow_sync.c ||
	fail "slow_sync.c does not build"
python3 test/functional/hub_slow_disk.py "$BUILD" "$work"
