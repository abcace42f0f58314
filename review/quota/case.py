"""A task of 5 cores whose tenant's maximum has been lowered to 4."""
import asyncio
import base64
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "../lib2"))
from fleet import play  # noqa: E402

JOB = "5c0e7a21d94b36f8"
FINISH_S = 14
ALLOWED_S = 3 + 4


async def case(fleet, trouble):
    await fleet.start(hosts=3, executors=8)
    if trouble:
        text = base64.b64decode(fleet.store.items["op/config"]["value"])
        config = json.loads(text)
        config["version"] = 2
        config["tenants"][0]["maximum"]["cpu"] = 4000
        await fleet.store.write("op/config", config)
        fleet.note("configuration", version=2)
    await asyncio.sleep(4)
    step = {"count": 1, "cpu": 5000, "mem_mb": 512, "estimated_ms": 500}
    if not await fleet.submit(JOB, [step], {"ms": 500}):
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(FINISH_S + ALLOWED_S)
    state = await fleet.state(JOB, quiet=False)
    starts = sum(row["event"] == "start" for row in fleet.runs())
    return starts == 0, f"state {state}, {starts} starts"


play(case)
