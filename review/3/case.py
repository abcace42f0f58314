"""A route is replaced by one of another name at the same place: do its jobs go on?"""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from deployment import TROUBLE, CannotRun, config, play, route, tenant  # noqa: E402

KEY = "key-of-drivers"
JOB = "5c0e7a21d94b36f8"
PATH = "/dispatch/" + JOB
TASK_MS = 3000
FINISH_S = 14


async def main(site):
    tenants = [tenant("drivers")]
    await site.start(config([route("r-dispatch", "/dispatch/")], tenants))
    step = {"cpu": 1000, "mem_mb": 1024, "estimated_ms": TASK_MS}
    job = {"spec": json.dumps({"ms": TASK_MS}),
           "steps": [{"count": 2, **step}, {"count": 2, **step, "after": [0]}]}
    status, _ = await site.client("POST", PATH, KEY, job)
    if status != 200:
        raise CannotRun("the job wasn't accepted")
    await asyncio.sleep(1)
    if TROUBLE:
        site.configure(config([route("r-dispatch-2", "/dispatch/")], tenants))
    # Both steps take 6 s. No traffic follows: the job is asked for after finish_s.
    await asyncio.sleep(2 * TASK_MS / 1000 + FINISH_S)
    status, value = await site.client("GET", PATH, KEY)
    events = site.read_events()
    first_done = [e for e in events if e.get("how") == "done" and ".0.0." in e["task"]]
    second = [e for e in events if e["event"] == "start" and ".0.1." in e["task"]]
    site.record(f"tasks of step 0 done: {len(first_done)}, starts of step 1: {len(second)}")
    if len(first_done) < 2:
        raise CannotRun("step 0 isn't done")
    if not second:
        site.rule_broken("LOST: the job is accepted, nobody has cancelled it, its state is "
                         f"{value}, step 0 has been done for over {FINISH_S} s, all executors "
                         "are up and empty, and nothing of step 1 has been started")


play(__file__, main)
