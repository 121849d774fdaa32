# Guards against: a fleet of a test whose data folders are on a disk that others
# use, so that an fsync of several seconds decides the test; files of a fleet that
# are lost when it stops, or that stay in memory.
. test/functional/lib_tools.sh
export FLEET_TMPDIR="$work/files"
mkdir "$FLEET_TMPDIR"

# is_in FILE FOLDER
is_in() {
	case $(readlink -f "$1") in
	"$(readlink -f "$2")"/*) echo yes ;;
	*) echo no ;;
	esac
}

# start: a fleet with one control VM; says where its log of changes is.
start() {
	scripts/fleet.sh start "$dir" control=1 entry=0 targets=0 || exit 1
	ls "$dir"/control-1.data/*wal* >/dev/null && echo "there is a log"
	echo "in FLEET_TMPDIR: $(is_in "$dir/control-1.data" "$FLEET_TMPDIR")"
}

echo "== start"
start
echo "== start again"
start
echo "folders: $(ls "$FLEET_TMPDIR" | wc -l)"
echo "== stop"
scripts/fleet.sh stop "$dir"
echo "in FLEET_TMPDIR: $(is_in "$dir/control-1.data" "$FLEET_TMPDIR")"
echo "folders: $(ls "$FLEET_TMPDIR" | wc -l)"
grep -c '"event":200,' "$dir/control-1.log"
echo "== without FLEET_TMPDIR"
(
	unset FLEET_TMPDIR
	scripts/fleet.sh start "$dir" control=1 entry=0 targets=0 || exit 1
)
echo "in FLEET_TMPDIR: $(is_in "$dir/control-1.data" "$FLEET_TMPDIR")"
