"""Jobs whose executor rejects their starts, and the number of pending jobs."""
import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "../lib2"))
from fleet import PREFIX, play  # noqa: E402

JOBS = [f"5c0e7a21d94b36{n:02x}" for n in range(10)]
SPECIAL = "i-special"
UNHEALTHY_S = 6.5  # Site file, srv_grey.
VISIBLE_S = 3.0
OLD_S = VISIBLE_S + 2  # MIXED: visible_ms + 2 s.


async def case(fleet, trouble):
    await fleet.start(hosts=3, executors=11)
    await fleet.start_executor(SPECIAL, labels=("b", "rack-1"))
    await asyncio.sleep(5)
    step = {"count": 1, "cpu": 1000, "mem_mb": 512, "estimated_ms": 1000,
            "constraints": "b"}
    began = time.monotonic()
    if trouble:
        fleet.signal(SPECIAL, signal.SIGUSR1)
    for job in JOBS:
        if not await fleet.submit(job, [step], {"ms": 500}):
            raise RuntimeError("a job was not accepted")
    accepted = time.monotonic()
    broken = []
    while time.monotonic() < accepted + OLD_S + 0.1:
        await asyncio.sleep(0.05)
    while time.monotonic() < began + UNHEALTHY_S - 0.3:
        for host in fleet.hosts:
            status, answer = await fleet.client("GET", PREFIX, host=host)
            started = {row["task"].split(".")[0] for row in fleet.runs()
                       if row["event"] == "start"}
            waiting = len(JOBS) - len(started)
            if status == 200 and answer["pending"] < waiting / 2:
                broken.append((host, answer["pending"], waiting))
        await asyncio.sleep(0.1)
    if trouble:
        fleet.signal(SPECIAL, signal.SIGUSR2)
    await asyncio.sleep(3)
    states = [await fleet.state(job) for job in JOBS]
    return bool(broken), (f"(host, pending, jobs that haven't begun): "
                          f"{broken[:3]}; {len(broken)} such answers; states "
                          f"at last {sorted(set(map(str, states)))}")


play(case)
