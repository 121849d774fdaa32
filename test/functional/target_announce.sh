# Failures guarded against: an announcement without a field, no renewal, no
# second entry VM when the first fails, no "leaving" on SIGTERM.
. test/functional/lib_tools.sh
python3 - "$work/port" "$work/posts" <<'PY' &
import http.server
import json
import sys


class Handler(http.server.BaseHTTPRequestHandler):
    def do_POST(self):
        body = self.rfile.read(int(self.headers["Content-Length"]))
        with open(sys.argv[2], "a") as out:
            out.write(json.dumps([self.path, self.headers["Authorization"],
                                  json.loads(body)]) + "\n")
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *args):
        pass


server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
with open(sys.argv[1], "w") as out:
    out.write(str(server.server_port))
server.serve_forever()
PY
helper=$!
wait_for "$work/port"
export FLEET_TARGET_EXTRA="{\"target_secret\":\"secret-1\",\"renew_ms\":100,
\"leave_notice_ms\":300,
\"entries\":[\"127.0.0.1:1\",\"127.0.0.1:$(cat "$work/port")\"]}"
scripts/fleet.sh start "$dir" control=0 entry=0 targets=1 || exit 1
sleep 1
scripts/fleet.sh signal "$dir" s1-t1 TERM
sleep 1
scripts/fleet.sh status "$dir"
python3 - "$work/posts" "$dir/fleet.json" <<'PY'
import json
import sys

posts = [json.loads(line) for line in open(sys.argv[1])]
listen = json.load(open(sys.argv[2]))["targets"][0]["listen"]
path, authorization, first = posts[0]
print(path, authorization)
assert first["address"] == listen
print(sorted(first))
print({k: first[k] for k in ("id", "service", "slots", "connection_cap",
                             "data_centre", "state")})
states = [p[2]["state"] for p in posts]
print("renewed:", states.count("serving") >= 5)
print("left:", states[-1], states == sorted(states, reverse=True))
print("one incarnation:", len({p[2]["incarnation"] for p in posts}) == 1)
PY
grep -o '"event":80[45]' "$dir/s1-t1.log" | sort -u
