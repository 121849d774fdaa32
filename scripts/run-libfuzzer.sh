#!/bin/sh
# Runs each fuzz target under libFuzzer, if clang has it. New inputs go to
# BUILD/new/NAME, crashes to BUILD.
#
#   run-libfuzzer.sh BUILD SECONDS SEED
set -u
build=$1
seconds=$2
seed=$3
cat >/tmp/tm-fuzz-probe.$$.c <<'C'
int LLVMFuzzerTestOneInput(const unsigned char *d, unsigned long n) {return 0;}
C
clang -fsanitize=fuzzer /tmp/tm-fuzz-probe.$$.c -o /tmp/tm-fuzz-probe.$$ \
    2>/dev/null
rc=$?
rm -f /tmp/tm-fuzz-probe.$$ /tmp/tm-fuzz-probe.$$.c
if [ $rc -ne 0 ]; then
	echo "libfuzzer: clang has no libFuzzer here, nothing run"
	exit 0
fi
flags="-fsanitize=fuzzer-no-link,address,undefined"
make -s -j4 BUILD="$build" CC=clang CFLAGS="$flags" OPT=-O1 \
    "$build/libtarragonmoor.a" || exit 1
failed=0
for source in test/fuzz/fuzz_*.c; do
	name=$(basename "$source" .c)
	[ "$name" = fuzz_driver ] && continue
	make -s BUILD="$build" CC=clang CFLAGS="$flags" OPT=-O1 \
	    "$build/test/fuzz/$name.o" || exit 1
	clang -fsanitize=fuzzer,address,undefined -o "$build/$name" \
	    "$build/test/fuzz/$name.o" "$build/libtarragonmoor.a" -lh2o -luv \
	    -lssl -lcrypto -lprotobuf-c -ljansson -largtable2 -lxxhash -lm ||
	    exit 1
	mkdir -p "$build/new/$name"
	echo "libfuzzer $name: $seconds s, seed $seed"
	if ! "$build/$name" -seed="$seed" -max_total_time="$seconds" \
	    -max_len=4096 -timeout=20 -artifact_prefix="$build/$name-" \
	    "$build/new/$name" "test/fuzz/corpus/${name#fuzz_}" \
	    >"$build/$name.log" 2>&1; then
		echo "FAIL libfuzzer $name"
		tail -n 40 "$build/$name.log"
		failed=1
	fi
done
exit $failed
