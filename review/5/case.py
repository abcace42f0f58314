"""A year's plan, one occurrence a minute, is handed in late: does the system go on?"""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from deployment import TROUBLE, CannotRun, config, play, route, tenant  # noqa: E402

KEY = "key-of-drivers"
MEMORY_MB = 260  # Of a machine of the site; a process above it is killed.
RESTART_S = 1.0
MINUTE_MS = 60_000
MINUTES_A_YEAR = 525_600
PLAN = "5c0e7a21d94b36f8"
TRAFFIC_S = 25  # After the plan.
FINISH_S = 14
TRIES = 5


def memory_mb(process):
    try:
        with open(f"/proc/{process.pid}/status") as status:
            for line in status:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0


async def limit_memory(site, ends):
    """The platform kills a process above its memory, and starts it again."""
    while True:
        await asyncio.sleep(0.02)
        for name in site.host_names:
            process = site.processes.get(name)
            if process is None:
                continue
            if (used := memory_mb(process)) > MEMORY_MB:
                site.record(f"host {name} has {used:.0f} MB")
                site.kill(name)
                ends[name] = ends.get(name, 0) + 1
                asyncio.get_running_loop().call_later(RESTART_S, site.start_host, name)


async def main(site):
    await site.start(config([route("r-dispatch", "/dispatch/")], [tenant("drivers")]))
    ends = {}
    limit = asyncio.create_task(limit_memory(site, ends))
    step = {"count": 1, "cpu": 1000, "mem_mb": 1024, "estimated_ms": 500}
    job = {"spec": json.dumps({"ms": 500}), "steps": [step]}
    first = "/dispatch/" + f"{1:016x}"
    if (await site.client("POST", first, KEY, job))[0] != 200:
        raise CannotRun("no job is accepted")
    now_ms = int(time.time() * 1000)
    # With the trouble, the plan's year began 11 months ago; else it begins now.
    began = now_ms - (480_000 * MINUTE_MS if TROUBLE else 0)
    plan = {**job, "repeat_count": MINUTES_A_YEAR, "interval_ms": MINUTE_MS,
            "start_at_ms": began}
    await site.client("POST", "/dispatch/" + PLAN, KEY, plan)
    served = number = 0
    until = time.time() + TRAFFIC_S
    while time.time() < until:
        number += 1
        status, _ = await site.client(
            "POST", f"/dispatch/{1000 + number:016x}", KEY, job, tries=1)
        served += status == 200
        await asyncio.sleep(1)
    site.record("the traffic ends")
    await asyncio.sleep(FINISH_S)
    status, value = await site.client("GET", first, KEY, tries=TRIES)
    limit.cancel()
    site.record(f"ends by memory: {ends}; jobs accepted meanwhile: {served} of {number}")
    if status != 200:
        site.rule_broken(f"LOST: {FINISH_S} s after the end of the traffic an accepted job is "
                         f"asked for {TRIES} times and gets no answer in time (the last: "
                         f"{status} {value})")
    if sum(count >= 3 for count in ends.values()) >= 2:
        site.rule_broken(f"Fault: processes went over {MEMORY_MB} MB and were killed, with no "
                         f"disruption there: {ends}; {served} of {number} other jobs accepted")


play(__file__, main)
