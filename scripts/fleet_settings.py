#!/usr/bin/env python3
"""Writes the settings of a small fleet on free loopback ports into a folder.

Usage: fleet_settings.py DIR [control=3] [entry=3] [dcs=3] [services=1]
       [targets=4] [workspaces=3] [rate=1000] [burst=500] [slots=4]

targets is the number per service, or one number for each service with commas
between, such as targets=8,20,6. FLEET_RATES holds a JSON object with the rate
and the burst of single workspaces, such as {"w1": [100, 50]}.
FLEET_CONTROL_EXTRA, FLEET_ENTRY_EXTRA and
FLEET_TARGET_EXTRA hold JSON objects that are merged into the settings;
FLEET_PROFILE_EXTRA into the profile "standard". FLEET_IP is the address of all
processes, by default one of its own for each fleet: a port is free for a moment
whenever its process is started again, and another fleet would take it.
"""
import hashlib
import json
import os
import random
import secrets
import socket
import sys

DEFAULTS = {"control": 3, "entry": 3, "dcs": 3, "services": 1, "targets": 4,
            "workspaces": 3, "rate": 1000, "burst": 500, "slots": 4}

# Below the range from which the kernel takes ports of outgoing connections,
# which could occupy a port between its choice and the start of the process.
PORTS = (10000, 32000)


def is_number_list(name, value):
    return name == "targets" and all(v.isdigit() for v in value.split(","))


def read_options(words):
    options = dict(DEFAULTS)
    for word in words:
        name, _, value = word.partition("=")
        if name not in options or not (
                value.isdigit() or is_number_list(name, value)):
            sys.exit(f"fleet: found {word!r}; allowed: NAME=NUMBER with "
                     f"NAME one of {', '.join(options)}, or "
                     "targets=NUMBER,NUMBER,...")
        options[name] = int(value) if value.isdigit() else value
    counts = [int(n) for n in str(options["targets"]).split(",")]
    if len(counts) == 1:
        counts *= options["services"]
    if len(counts) != options["services"]:
        sys.exit(f"fleet: found targets={options['targets']} with "
                 f"services={options['services']}; allowed: one number, or "
                 "one for each service")
    options["targets"] = counts
    return options


class Ports:
    """Holds ports open until all are drawn, so that none is drawn twice."""

    def __init__(self):
        self.sockets = []
        self.ip = os.environ.get("FLEET_IP") or "127.%d.%d.%d" % (
            random.randrange(200, 250), random.randrange(256),
            random.randrange(1, 255))

    def draw(self):
        while True:
            sock = socket.socket()
            port = random.randrange(*PORTS)
            try:
                sock.bind((self.ip, port))
            except OSError:
                sock.close()
                continue
            self.sockets.append(sock)
            return f"{self.ip}:{port}"

    def release(self):
        for sock in self.sockets:
            sock.close()


def read_extra(name):
    return json.loads(os.environ.get(name, "{}"))


def make_objects(options):
    profile = {"name": "standard", "ejection": "normal", "floor_percent": 50,
               "repeat": "allowed", "deadline_ms": 2000}
    profile.update(read_extra("FLEET_PROFILE_EXTRA"))
    once = {**profile, "name": "once", "repeat": "forbidden"}
    services = [f"s{i}" for i in range(1, options["services"] + 1)]
    rates = read_extra("FLEET_RATES")
    usual = (options["rate"], options["burst"])
    names = [f"w{i}" for i in range(1, options["workspaces"] + 1)]
    return {
        "profiles": [profile, once],
        "services": [{"name": s, "profile": "standard"} for s in services],
        "routes": [{"name": f"r-{s}", "path_prefix": f"/{s}", "service": s,
                    "workspaces": "all"} for s in services],
        "workspaces": [{"name": w, "rate_per_s": rates.get(w, usual)[0],
                        "burst": rates.get(w, usual)[1]} for w in names],
    }


def main():
    folder = os.path.abspath(sys.argv[1])
    options = read_options(sys.argv[2:])
    ports = Ports()
    dcs = [f"dc{i}" for i in range(1, options["dcs"] + 1)]
    token = secrets.token_hex(16)
    fleet_secret = secrets.token_hex(16)
    target_secret = secrets.token_hex(16)
    controls = [{"name": f"control-{i + 1}", "dc": dcs[i % len(dcs)],
                 "admin": ports.draw(), "peer": ports.draw()}
                for i in range(options["control"])]
    entries = [{"name": f"entry-{i + 1}", "dc": dcs[i % len(dcs)],
                "listen": ports.draw(), "ops": ports.draw(),
                "peer": ports.draw()} for i in range(options["entry"])]
    targets = [{"name": f"s{s}-t{i + 1}", "service": f"s{s}",
                "dc": dcs[i % len(dcs)], "listen": ports.draw(),
                "admin": ports.draw()}
               for s in range(1, options["services"] + 1)
               for i in range(options["targets"][s - 1])]
    ports.release()

    def write(name, value):
        with open(os.path.join(folder, name), "w", encoding="utf-8") as out:
            json.dump(value, out, indent=1)
            out.write("\n")

    for c in controls:
        write(c["name"] + ".json", {
            "node": c["name"], "data_centre": c["dc"],
            "data_dir": os.path.join(folder, c["name"] + ".data"),
            "admin_listen": c["admin"], "peer_listen": c["peer"],
            "control_vms": [{"name": o["name"], "peer": o["peer"],
                             "admin": o["admin"]} for o in controls],
            "fleet_secrets": [fleet_secret],
            "operators": [{"name": "fleet", "token_sha256":
                           hashlib.sha256(token.encode()).hexdigest()}],
            **read_extra("FLEET_CONTROL_EXTRA")})
        os.makedirs(os.path.join(folder, c["name"] + ".data"), exist_ok=True)
    for e in entries:
        write(e["name"] + ".json", {
            "node": e["name"], "data_centre": e["dc"], "listen": e["listen"],
            "ops_listen": e["ops"], "peer_listen": e["peer"],
            "control_vms": [{"name": o["name"], "address": o["peer"]}
                            for o in controls],
            "fleet_secrets": [fleet_secret], "target_secrets": [target_secret],
            **read_extra("FLEET_ENTRY_EXTRA")})
    for t in targets:
        write(t["name"] + ".json", {
            "id": t["name"], "service": t["service"], "data_centre": t["dc"],
            "listen": t["listen"], "admin_listen": t["admin"],
            "entries": [e["ops"] for e in entries],
            "target_secret": target_secret, "slots": options["slots"],
            "record": os.path.join(folder, t["name"] + ".record"),
            "record_starts": True, "marker": "tmk_",
            **read_extra("FLEET_TARGET_EXTRA")})
    write("objects.json", make_objects(options))
    with open(os.path.join(folder, "token"), "w", encoding="utf-8") as out:
        out.write(token + "\n")
    write("fleet.json", {
        "controls": controls, "entries": entries, "targets": targets,
        "workspaces": [f"w{i}" for i in range(1, options["workspaces"] + 1)]})
    # The same addresses for shell scripts.
    with open(os.path.join(folder, "env"), "w", encoding="utf-8") as out:
        out.write(f"FLEET_DIR='{folder}'\n")
        for name, value in (
                ("CONTROLS", [c["name"] for c in controls]),
                ("ADMIN", [c["admin"] for c in controls]),
                ("ENTRIES", [e["name"] for e in entries]),
                ("LISTEN", [e["listen"] for e in entries]),
                ("OPS", [e["ops"] for e in entries]),
                ("TARGETS", [t["name"] for t in targets]),
                ("TARGET_LISTEN", [t["listen"] for t in targets]),
                ("TARGET_ADMIN", [t["admin"] for t in targets]),
                ("WORKSPACES", [f"w{i + 1}"
                                for i in range(options["workspaces"])])):
            out.write(f"FLEET_{name}='{' '.join(value)}'\n")


main()
