# Failures guarded against: a hub whose disk was full once takes no part in the
# replicated log again, although its process runs on and keeps its seat; after
# some such hubs no leader is left for good.
. test/functional/lib_tools.sh
python3 test/functional/hub_disk.py "$BUILD" "$work"
