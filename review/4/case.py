"""A route becomes public; a client cancels its job there: does the job's work end?"""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from deployment import BOUNDS, TROUBLE, CannotRun, config, play, route, tenant  # noqa: E402

KEY = "key-of-drivers"
JOB = "5c0e7a21d94b36f8"
PATH = "/dispatch/" + JOB
TASK_MS = 6000


async def main(site):
    tenants = [tenant("drivers")]
    await site.start(config([route("r-dispatch", "/dispatch/")], tenants))
    step = {"count": 2, "cpu": 1000, "mem_mb": 1024, "estimated_ms": TASK_MS}
    job = {"spec": json.dumps({"ms": TASK_MS}), "steps": [step] + [
        {**step, "after": [number]} for number in range(4)]}
    status, _ = await site.client("POST", PATH, KEY, job)
    if status != 200:
        raise CannotRun("the job wasn't accepted")
    await asyncio.sleep(1)
    key = KEY
    if TROUBLE:
        site.configure(config([route("r-dispatch", "/dispatch/", public=True)], tenants))
        key = None  # A call carries a key unless its route is public.
    # Far more than config_ms and stable_window_ms.
    await asyncio.sleep(4)
    status, _ = await site.client("DELETE", PATH, key)
    if status not in (200, 410):
        raise CannotRun("the cancel wasn't acknowledged")
    acknowledged = time.time() - site.began
    await site.client("GET", PATH, key)
    await asyncio.sleep(20)
    await site.client("GET", PATH, key)
    bound = acknowledged + BOUNDS["cancel_ms"] / 1000
    late = [e for e in site.read_events() if e["event"] == "start" and e["at"] > bound]
    site.record(f"cancel acknowledged at {acknowledged:.3f}; starts after {bound:.3f}: {len(late)}")
    if late:
        site.rule_broken(f"UNASKED: the cancel was answered {status} at {acknowledged:.3f} s; "
                         f"tasks of the job were started until {late[-1]['at']:.3f} s")


play(__file__, main)
