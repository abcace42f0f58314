"""A gang that finds no room waits: do the jobs of other tenants start?"""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from deployment import TROUBLE, CannotRun, config, play, route, tenant  # noqa: E402

DEPOTS = "key-of-depots"
DRIVERS = "key-of-drivers"
SERVICE_CPU = 7000  # On each executor, of 16,000: under half.
GANG_CPU = 10000  # More than is left on any executor, and less than each has.
FINISH_S = 14


async def main(site):
    await site.start(config([route("r-plan", "/plan/", priority=1, stretch=4.0)],
                            [tenant("depots"), tenant("drivers")]))
    width = len(site.executor_ids)
    lasts = {"count": width, "mem_mb": 1024, "estimated_ms": 1000, "long_running": True}

    async def hand_in(number, key, step, spec):
        body = {"spec": json.dumps(spec), "steps": [step]}
        status, _ = await site.client("POST", f"/plan/{number:016x}", key, body)
        if status != 200:
            raise CannotRun("a job wasn't accepted")

    await hand_in(1, DEPOTS, {**lasts, "cpu": SERVICE_CPU, "anti_affinity": 1}, {"lasts": True})
    await asyncio.sleep(1.5)
    if len(site.read_events()) < width:
        raise CannotRun("the service didn't start")
    if TROUBLE:
        await hand_in(2, DEPOTS, {**lasts, "cpu": GANG_CPU, "gang": True}, {"lasts": True})
        await asyncio.sleep(0.5)
    jobs = [100 + n for n in range(20)]
    for number in jobs:
        await hand_in(number, DRIVERS, {"count": 2, "cpu": 1000, "mem_mb": 1024,
                                        "estimated_ms": 1000}, {"ms": 1000})
        await asyncio.sleep(0.12)
    await asyncio.sleep(FINISH_S + 3)
    states = {}
    for number in jobs:
        _, value = await site.client("GET", f"/plan/{number:016x}", DRIVERS)
        states[value.get("state")] = states.get(value.get("state"), 0) + 1
    begun = {e["task"][:16] for e in site.read_events() if e["event"] == "start"}
    waiting = [n for n in jobs if f"{n:016x}" not in begun]
    site.record(f"states of the other tenant's jobs: {states}; never started: {len(waiting)}")
    if waiting:
        site.rule_broken(f"LOST: {len(waiting)} of {len(jobs)} jobs of a tenant that has nothing "
                         f"running haven't started {FINISH_S + 3} s after the traffic; each of "
                         f"{width} executors has 9 of 16 cores free")


play(__file__, main)
