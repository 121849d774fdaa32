# Failures guarded against: a file that is not installed or installed with the
# wrong mode, an installed program with test hooks, a link of the pages that
# leads nowhere, a unit that names a wrong path.
dest=$BUILD/check/install
rm -rf "$dest"
mkdir -p "$dest"
dest=$(cd "$dest" && pwd)
make -s -j4 install DESTDIR="$dest" PREFIX=/usr >"$dest.log" 2>&1 || {
	tail -n 20 "$dest.log"
	exit 1
}
echo "== files"
(cd "$dest" && find . -type f -printf '%m %P\n' | LC_ALL=C sort -k 2)
echo "== programs"
for name in tm-entry tm-control; do
	"$dest/usr/bin/$name" --print-default >"$dest.json"
	"$dest/usr/bin/$name" --check --settings "$dest.json" |
	    sed 's/.*: /settings: /'
	strings -a "$dest/usr/bin/$name" | grep -c '/v1/test/'
done
echo "== units"
grep -h '^Exec' "$dest"/usr/lib/systemd/system/*.service
echo "== links that lead nowhere"
(cd "$dest/usr/share/doc/tarragonmoor" &&
    grep -o '](\([^)#:]*\))' ./*.md | sed 's/.*](\(.*\))/\1/' | sort -u |
    while read -r link; do
	[ -e "$link" ] || echo "$link"
    done)
grep -o '](\([^)#:]*\))' README.md | sed 's/.*](\(.*\))/\1/' | sort -u |
    while read -r link; do
	[ -e "$link" ] || echo "$link"
    done
echo "== pages that the README does not name"
for page in docs/*.md; do
	grep -qF "]($page)" README.md || echo "$page"
done
