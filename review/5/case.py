"""A tenant at its maximum has many urgent jobs waiting: do others' jobs start?"""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from deployment import TROUBLE, CannotRun, config, play, route, tenant  # noqa: E402

BUSY = "key-of-depots"
OTHER = "key-of-drivers"
USUAL_PER_S = 3.0
HOT_X = 7.5  # The site's list: hot_tenant, x = 7.5 for 6.5 s.
HOT_S = 6.5
USUAL_S = 3.0
TASK_MS = 12000  # The longest work of the site's kinds of request.
FINISH_S = 14
OTHER_JOB = "0b7d9c4e5f6a1238"


async def main(site):
    # At most 4 cores of 128 for the busy tenant; jobs up to its weight are its share.
    tenants = [tenant("depots", weight=31, cpu=4000), tenant("drivers", weight=20)]
    await site.start(config([route("r-check", "/check/", priority=0, max_attempts=4),
                             route("r-plan", "/plan/", priority=2)], tenants))
    step = {"count": 1, "cpu": 1400, "mem_mb": 1024, "estimated_ms": TASK_MS}
    job = {"spec": json.dumps({"ms": TASK_MS}), "steps": [step]}
    accepted = 0

    async def hand_in(number):
        nonlocal accepted
        status, _ = await site.client("POST", f"/check/{number:016x}", BUSY, job, quiet=True)
        accepted += status == 200

    async def send_at(rate, seconds, first):
        calls = []
        for n in range(int(rate * seconds)):
            calls.append(asyncio.create_task(hand_in(first + n)))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*calls)

    await send_at(USUAL_PER_S, USUAL_S, 1)
    await send_at(USUAL_PER_S * (HOT_X if TROUBLE else 1), HOT_S, 1000)
    await send_at(USUAL_PER_S, USUAL_S, 2000)
    site.record(f"client: {accepted} jobs of the busy tenant accepted")
    other = {"spec": json.dumps({"ms": 1000}),
             "steps": [{**step, "estimated_ms": 1000}]}
    status, _ = await site.client("POST", "/plan/" + OTHER_JOB, OTHER, other)
    if status != 200:
        raise CannotRun("the other tenant's job wasn't accepted")
    await asyncio.sleep(FINISH_S + 7)
    status, value = await site.client("GET", "/plan/" + OTHER_JOB, OTHER)
    starts = [e for e in site.read_events()
              if e["event"] == "start" and e["task"].startswith(OTHER_JOB)]
    site.record(f"starts of the other tenant's job: {len(starts)}")
    if not starts:
        site.rule_broken(f"LOST: the job of a tenant that has nothing running is {value} "
                         f"{FINISH_S + 7} s after the traffic, with over 120 of 128 cores free")


play(__file__, main)
