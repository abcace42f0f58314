"""Lasting tasks on every executor; one executor crashes twice: does all run again?"""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from deployment import TROUBLE, CannotRun, config, play, route, tenant  # noqa: E402

KEY = "key-of-drivers"
SPREAD = "5c0e7a21d94b36f8"  # One task on each executor.
SINGLE = "0b7d9c4e5f6a1238"
CRASHES = 2
DOWN_S = 3.5  # Of a crashed executor; the site's list has up to 4.5 s.
CALM_S = 7.5  # More than stable_window_ms between two crashes.
WATCH_S = 30  # The rule counts 6 s from a run's end, then 4 s and 3 s of calm.


def running(site):
    """Executor of each task that runs; a crash has ended all runs there."""
    where = {}
    for event in site.read_events():
        if event["event"] == "start":
            where[event["task"]] = event["executor"]
        elif event["event"] == "end":
            where.pop(event["task"], None)
        elif event["event"] == "crash":
            where = {t: e for t, e in where.items() if e != event["executor"]}
    return where


async def submit(site, job, step):
    body = {"spec": json.dumps({"lasts": True}),
            "steps": [{"mem_mb": 1024, "estimated_ms": 1000, "long_running": True, **step}]}
    status, _ = await site.client("POST", "/dispatch/" + job, KEY, body)
    if status != 200:
        raise CannotRun("a job wasn't accepted")


async def wait_for(site, tasks, seconds):
    for _ in range(seconds * 10):
        await asyncio.sleep(0.1)
        if len(running(site)) >= tasks:
            return True
    return False


async def main(site):
    await site.start(config([route("r-dispatch", "/dispatch/")], [tenant("drivers")]))
    spread = len(site.executor_ids)
    await submit(site, SPREAD, {"count": spread, "cpu": 1000, "anti_affinity": 1})
    await submit(site, SINGLE, {"count": 1, "cpu": 1000})
    if not await wait_for(site, spread + 1, 10):
        raise CannotRun("not all tasks have started")
    tasks = set(running(site))
    single = SINGLE + ".0.0.0"
    for _ in range(CRASHES):
        await asyncio.sleep(CALM_S)
        if TROUBLE:
            crashed = running(site)[single]
            site.kill(crashed)
            site.events.append({"event": "crash", "executor": crashed})
            await asyncio.sleep(DOWN_S)
            site.start_executor(crashed)
            await wait_for(site, spread + 1, 8)
    last_run = {}
    for _ in range(WATCH_S * 5):
        await asyncio.sleep(0.2)
        for task in running(site):
            last_run[task] = asyncio.get_running_loop().time()
    now = asyncio.get_running_loop().time()
    for job in (SPREAD, SINGLE):
        await site.client("GET", "/dispatch/" + job, KEY)
    site.record(f"running: {json.dumps(running(site))}")
    for task in sorted(tasks):
        if now - last_run.get(task, now - WATCH_S) >= 13:
            site.rule_broken(f"LOST: {task} lasts, nobody has cancelled its job, all executors "
                             "are up and nearly empty, and it has had no run for 13 s of calm")


play(__file__, main)
