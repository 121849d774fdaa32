"""Another writer sends three heartbeats, one for the address of each of three of
the six upstreams of a service. They name a service that the configuration does not
have. The rule (FLOOR) is broken if the sound upstreams behind those addresses get no
more requests while the service has too little room."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))

import floor_check  # noqa: E402
import stand_ins as sa  # noqa: E402

UPSTREAMS, STRAY = 6, 3
SLOTS, QUEUE, WORK_S = 4, 8, 0.2
PER_S = 85  # of 120 that all upstreams can run
BEFORE_S, AFTER_S = 8, 25
# The tests of the rule begin after the times that it leaves to heartbeats and to
# machines, twice ConnectivityWindowS, have passed.
SETTLE_S = 6


def document():
    return {"Version": 7, "Routes": {"r1": {
        "Host": "a.example", "PathPrefix": "/x/", "Kind": "safe",
        "TimeoutS": 3, "TargetLatencyS": 1.2, "Priority": 0, "Service": "s1",
        "MaxAttempts": 2, "Anonymous": False}},
        "Services": {"s1": {"HealthPath": "/health", "MaxConns": 360}},
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864,
                   "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
        "Tenants": {"w1": {"ApiKeys": ["key-one"], "RatePerS": 0,
                           "Burst": 0}}}


async def play(fleet, record):
    sa.start_processes(fleet)
    arrivals = [[] for _ in range(UPSTREAMS)]

    def make_answer(index):
        def answer(_attempt, _path):
            arrivals[index].append(time.monotonic())
            return WORK_S, b"done"
        return answer

    upstreams = [sa.Upstream(fleet, record, f"u{i}", make_answer(i),
                             slots=SLOTS, queue=QUEUE)
                 for i in range(UPSTREAMS)]
    status, _ = await sa.control(
        fleet, "POST", "/tarragonmoor/config/put", document(), sa.START_MAX_S)
    if status != 200:
        return sa.NOT_RUN
    for upstream in upstreams:
        await upstream.start()
    for gate in range(len(fleet.gates)):
        if not await sa.wait_for(lambda: sa.is_ready(fleet, gate)):
            return sa.NOT_RUN
    await asyncio.sleep(5)
    client = floor_check.Client(fleet, record, PER_S)
    stop = asyncio.Event()
    load = asyncio.create_task(client.run(stop))
    await asyncio.sleep(BEFORE_S)
    for upstream in upstreams[:STRAY]:
        if not sa.has_trouble():
            break
        status, _ = await sa.control(
            fleet, "POST",
            f"/tarragonmoor/instances/other-{upstream.id}/heartbeat", {
                "Service": "not-in-the-configuration", "Zone": "z1",
                "Version": "v1", "Address": f"127.0.0.1:{upstream.port}",
                "MaxConcurrency": SLOTS, "State": "ready", "WarmupLeftS": 0,
                "Sequence": 1, "born": int(time.time() * 1000)})
        record.write("stray-heartbeat", address=upstream.port, status=status)
    begin = time.monotonic() + SETTLE_S
    await asyncio.sleep(AFTER_S)
    end = time.monotonic() - floor_check.DEADLINE_MS / 1000
    stop.set()
    await load
    broken, windows = floor_check.find_breaks(
        record, client, arrivals, begin, end)
    record.write("sum", windows=windows, broken=broken,
                 served=len(client.served), sent=len(client.sent))
    if not client.served:
        return sa.NOT_RUN
    return sa.BROKEN if broken else sa.HELD


if __name__ == "__main__":
    sys.exit(sa.run_case(FOLDER, play))
