"""A lasting task whose executor crashed twice, and a job without any crash that
needs the same executor."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "../lib2"))
from fleet import play, wait_for  # noqa: E402

LASTING = "5c0e7a21d94b36f8"
OTHER = "7d1f8b32e05c47a9"
SPECIAL = "i-special"
CRASHES = 2
CALM_S = 8  # Between two crashes; longer than stable_window_ms.
DOWN_S = 1
FINISH_S = 14
ALLOWED_S = 3 + 4  # LOST: nothing runs for 3 s, and a margin.


async def case(fleet, trouble):
    await fleet.start(hosts=3, executors=7)
    await fleet.start_executor(SPECIAL, labels=("b", "rack-1"))
    step = {"count": 1, "cpu": 1000, "mem_mb": 512, "estimated_ms": 1000,
            "constraints": "b"}
    if not await fleet.submit(LASTING, [{**step, "long_running": True}],
                              {"lasts": True}):
        raise RuntimeError("the lasting job was not accepted")
    for _ in range(CRASHES):
        if not await wait_for(10, lambda: fleet.place_of(LASTING + ".0.0.0")):
            raise RuntimeError("the lasting job doesn't run before a crash")
        await asyncio.sleep(CALM_S)
        if trouble:
            fleet.signal(SPECIAL, signal.SIGKILL)
            await asyncio.sleep(DOWN_S)
            await fleet.start_executor(SPECIAL)
    await asyncio.sleep(CALM_S)
    if not await fleet.submit(OTHER, [step], {"ms": 500}):
        raise RuntimeError("the other job was not accepted")
    await asyncio.sleep(FINISH_S + ALLOWED_S)
    state = await fleet.state(OTHER, quiet=False)
    runs = [row for row in fleet.runs()
            if row["event"] == "start" and row["task"].startswith(OTHER)]
    lasting = await fleet.state(LASTING, quiet=False)
    broken = not runs and state in ("queued", "running")
    return broken, (f"{FINISH_S + ALLOWED_S} s after it was accepted the other "
                    f"job is {state}, with {len(runs)} starts; the lasting job "
                    f"is {lasting}; 15 of the executor's 16 cores are free")


play(case)
