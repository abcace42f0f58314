"""A host regains the cell while an executor drains.

The owner is frozen for 3 s, so that another host takes the cell over. Later an
executor reports that it drains, and 2.6 s after that the second owner gets
SIGTERM. The first owner, calm for 4.6 s, takes the cell over again.
"""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib3"))
from standins import BROKEN, HELD, NOT_RUN, now_ms, run_case  # noqa: E402

DRAIN_MS = 2000
FREEZE_S = 3.0
# Before the drain, which begins 2.6 s before the SIGTERM; stable_window_ms is 3 s.
CALM_S = 2.0
REMAINING_MS = 5000
ROUNDS = 6
SERVICE = "0000000000000c01"


async def feed(platform):
    """Hands jobs in so that some tasks always wait for room."""
    number = 0
    while True:
        number += 1
        job = f"{0x1000 + number:016x}"
        steps = [{"count": 4, "cpu": 3500, "mem_mb": 1000, "estimated_ms": 1500}]
        asyncio.ensure_future(platform.submit(job, steps, 1500))
        await asyncio.sleep(0.5)


async def round_of(platform, known):
    """One hand-over, drain and planned stop; returns starts that are too late."""
    first = platform.hosts.owner()
    if platform.trouble:
        platform.hosts.signal(first, signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        platform.hosts.signal(first, signal.SIGCONT)
    await asyncio.sleep(CALM_S)
    second = platform.hosts.owner()
    platform.record.note("owners", first=first, second=second)
    executor = next(
        executor
        for executor, _, _ in platform.running(SERVICE)
        if executor not in known[-2:]
    )
    known.append(executor)
    accepted = executor.drain(REMAINING_MS)
    await asyncio.sleep(2.6)
    # The host that stops isn't in touch. Those that take over have higher tokens.
    former = max(e.token for e in platform.executors)
    platform.hosts.signal(second, signal.SIGTERM)
    await asyncio.sleep(REMAINING_MS / 1000 - 2.6)
    executor.leave()
    late = [
        start for start in executor.starts if start[0] > accepted + DRAIN_MS and start[3] > former
    ]
    for at, task, run, token in late:
        platform.record.note(
            "late_start", id=executor.name, task=task, run=run, token=token, ms=at - accepted
        )
    for _ in range(50):
        if not platform.hosts.alive(second):
            break
        await asyncio.sleep(0.1)
    platform.hosts.start(second)
    executor.state = "ready"
    await executor.start()
    executor.starts.clear()
    return late


async def play(platform):
    await platform.start(executors=6, cpu=8000)
    if not await platform.ready():
        return NOT_RUN
    lasts = {"count": 5, "cpu": 1000, "long_running": True, "anti_affinity": 1}
    if not await platform.submit(SERVICE, [lasts], None):
        return NOT_RUN
    feeder = asyncio.ensure_future(feed(platform))
    await asyncio.sleep(4)
    late = []
    known = []
    for _ in range(ROUNDS):
        late += await round_of(platform, known)
        await asyncio.sleep(3)
        if late:
            break
    feeder.cancel()
    platform.record.note("verdict", late_starts=len(late))
    return BROKEN if late else HELD


run_case(FOLDER, play)
