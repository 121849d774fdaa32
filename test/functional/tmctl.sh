# Failures guarded against: a change that is sent again under another id, a
# redirect that is not followed, a server that hangs and is not passed over, a
# wrong exit code, a request that differs from the admin API.
. test/functional/lib_tools.sh
cat >"$work/server.py" <<'PY'
"""Stand-in for two control VMs: the first redirects to the second."""
import http.server
import json
import sys
import threading
import time

folder = sys.argv[1]
workspace = {"name": "w1", "rate_per_s": 100, "burst": 50, "version": 7}
lost = set()
VERDICT = {"evidence": "latency", "unit": "times the peers", "value": 8.25,
           "limit": 3.5}
EXPLAINED = {
    "kind=target&name=s1-t1": [
        {"target": "s1-t1", "service": "s1", "state": "ejected",
         "state_age_ms": 2500, "usable": False, "ejections": 2,
         "verdict": VERDICT}],
    "kind=request&name=a%2Fb": [
        {"request_id": "a/b", "status": 502, "outcome": "target_failed",
         "run": "unknown", "target": "s1-t1", "attempts": 2,
         "latency_us": 1500, "age_ms": 700, "reason": "it failed",
         "remedy": "check it"}],
    "kind=workspace&name=w1": [
        {"workspace": "w1", "rate_per_s": 5, "burst": 2, "shard": 7,
         "leader": "entry-1", "tokens": 1, "waiting": 3, "demand_per_s": 9.5,
         "empty_ms": 120, "requests": 40, "refused_rate": 30,
         "refused_other": 1, "bucket": {"level": 0.5, "outstanding": 1.0}}]}
ENTRY_STATUS = {
    "node": "entry-2", "data_centre": "dc1", "state": "isolated",
    "config_index": 9, "tick_age_ms": 6000, "in_flight": 1,
    "groups": {"holder_of": 3, "ready_for": 2, "leader_of": 1},
    "services": [{"service": "s1", "leader": "entry-1", "waiting": 4,
                  "table_term": 2, "table_sequence": 5, "counts": {
                      "usable": 2, "ejected": 1, "leaving": 1, "lapsed": 0,
                      "avoided": 1}}]}


def status():
    """Status of control; entry-1 does not run."""
    return {"role": "leader", "leader": "c2", "ready": True, "term": 4,
            "version": 9, "voter": True, "subscribers": 1,
            "control_vms": [
                {"name": "c2",
                 "admin": "127.0.0.1:%d" % servers[1].server_port},
                {"name": "c1", "admin": "127.0.0.1:1"}],
            "nodes": [
                {"name": "entry-2", "ops_ip": "127.0.0.1",
                 "ops_port": servers[1].server_port},
                {"name": "entry-1", "ops_ip": "127.0.0.1", "ops_port": 1}],
            "groups": [
                {"shard": 0, "epoch": 1, "ready": 2, "quarantine": False,
                 "holders": ["entry-1", "entry-2"]},
                {"shard": 1, "epoch": 3, "ready": 1, "quarantine": True,
                 "holders": ["entry-1", "entry-2"]}]}



class Handler(http.server.BaseHTTPRequestHandler):
    def reply(self, status, body, **headers):
        data = json.dumps(body).encode()
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def handle_any(self):
        length = int(self.headers.get("Content-Length", 0))
        body = self.rfile.read(length).decode()
        change = self.headers.get("X-Change-Id", "")
        if self.server is servers[0] and self.path != "/v1/status":
            self.reply(307, {}, Location="http://127.0.0.1:%d%s" % (
                servers[1].server_port, self.path))
            return
        with open(folder + "/requests", "a") as out:
            print(self.command, self.path,
                  "change-id" if change else "-",
                  self.headers.get("If-Version", "-"),
                  self.headers.get("Authorization"), body, file=out)
        if change.startswith("lose-") and change not in lost:
            lost.add(change)
            time.sleep(30)
        if change.startswith("busy-"):
            self.reply(503, {"error": "no leader"})
        elif self.path == "/v1/workspaces/w1" and self.command == "GET":
            self.reply(200, workspace)
        elif self.path.startswith("/v1/workspaces?") or \
                self.path == "/v1/workspaces":
            self.reply(200, {"items": [workspace, {"name": "second-one",
                                                   "burst": 1}], "version": 9})
        elif self.headers.get("If-Version") == "6":
            self.reply(412, {"error": "version mismatch", "version": 7,
                             "reason": "the object has another version",
                             "remedy": "read it again"})
        elif self.path.startswith("/v1/apply"):
            self.reply(400, {"error": "invalid", "reason": "problems",
                             "remedy": "correct them", "problems": [
                                 {"field": "profiles[0].name", "found": "3",
                                  "allowed": "a name", "remedy": "set it"}]})
        elif self.path == "/v1/status":
            self.reply(200, status())
        elif self.path == "/status":
            self.reply(200, ENTRY_STATUS)
        elif self.path.startswith("/v1/explain?"):
            self.reply(200, {"node": "entry-2", "found": EXPLAINED.get(
                self.path.split("?")[1], [])})
        elif "missing" in self.path:
            self.reply(404, {"error": "no such object", "reason": "missing",
                             "remedy": "check the name"})
        else:
            self.reply(200, {"change_id": change, "version": 8})

    do_GET = do_PUT = do_POST = do_DELETE = handle_any

    def log_message(self, *args):
        pass


servers = [http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
           for _ in range(2)]
for s in servers[1:]:
    threading.Thread(target=s.serve_forever, daemon=True).start()
with open(folder + "/ports", "w") as out:
    out.write(" ".join(str(s.server_port) for s in servers))
servers[0].serve_forever()
PY
python3 "$work/server.py" "$work" &
helper=$!
wait_for "$work/ports"
read -r follower leader <"$work/ports"
echo 'token-1' >"$work/token"
export TMCTL_TOKEN_FILE="$work/token"
export TMCTL_SERVERS="127.0.0.1:1,127.0.0.1:$follower"

ctl() {
	echo "\$ tmctl $*" | sed "s|$work/||; s/:$leader/:PORT/"
	"$BUILD/bin/tmctl" "$@" >"$work/out" 2>"$work/err"
	code=$?
	sed "s|$work/||; s/[0-9a-f]\{32\}/RANDOM/; s/:$leader/:PORT/g; \
	    s/\"ops_port\":$leader/\"ops_port\":PORT/" "$work/out" "$work/err"
	echo "exit $code"
}

ctl list workspaces
ctl list workspace --after w0 --limit 5
ctl --json get workspaces w1
ctl get workspaces missing
ctl rate set w1 250.5 80
ctl --if-version 7 --change-id rate-1 rate set w1 300 80
ctl rate set missing 1 1
ctl rate set w1 -- -1 1
ctl --if-version 6 delete workspaces w1
ctl --dry-run --change-id again-1 delete route 'a/b c'
ctl key issue w1
ctl key withdraw k1
ctl history --after 3
ctl status
ctl --json status
ctl explain target s1-t1
ctl explain request a/b
ctl explain workspace w1
ctl explain workspace w2
ctl --entry "127.0.0.1:$leader" --json explain target s1-t1
ctl --entry nowhere explain target s1-t1
ctl explain target
ctl explain door x
echo '{"profiles":[{"name":3}]}' >"$work/objects.json"
ctl apply "$work/objects.json"
echo '{"profile":[], "routes":{}}' >"$work/objects.json"
ctl apply "$work/objects.json"
ctl apply "$work/none.json"
echo "== the answer is lost: the same id goes to the next server"
ctl --timeout-ms 8000 --change-id lose-1 key withdraw k2
echo "== no final answer in time"
ctl --timeout-ms 700 --change-id busy-1 key withdraw k3
ctl --server 127.0.0.1:1 --timeout-ms 300 status
ctl --server nowhere status
ctl --change-id 'not valid' key withdraw k4
TMCTL_TOKEN_FILE=$work/none ctl status
ctl
echo "== requests"
uniq "$work/requests"
