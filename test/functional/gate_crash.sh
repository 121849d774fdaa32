# Failure guarded against: a request that ends each target which runs it is sent
# on by other gates and in later attempts, until no target is left; or harmless
# requests of the same caller are blocked with it; or a block ends with the
# processes that know it.
. test/functional/lib_tools.sh
python3 test/functional/gate_crash.py "$BUILD" "$work"
