"""One of four lasting tasks is on an executor that crashes, three times: does the job go on?"""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from deployment import TROUBLE, CannotRun, config, play, route, tenant  # noqa: E402

KEY = "key-of-drivers"
JOB = "5c0e7a21d94b36f8"
PATH = "/dispatch/" + JOB
TASKS = 4
CRASHES = 3
DOWN_S = 3.5  # Of a crashed executor; the site's list has up to 4.5 s.
CALM_S = 7.5  # More than stable_window_ms between two crashes.
WATCH_S = 14  # The rule counts 6 s from a run's end, then 4 s and 3 s of calm.


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


async def wait_for_all(site, seconds):
    for _ in range(int(seconds * 10)):
        await asyncio.sleep(0.1)
        if len(running(site)) == TASKS:
            return True
    return False


async def main(site):
    await site.start(config([route("r-dispatch", "/dispatch/")], [tenant("drivers")]))
    job = {"spec": json.dumps({"lasts": True}),
           "steps": [{"count": TASKS, "cpu": 2000, "mem_mb": 1024, "estimated_ms": 1000,
                      "anti_affinity": 1, "may_miss": 1, "long_running": True}]}
    status, _ = await site.client("POST", PATH, KEY, job)
    if status != 200:
        raise CannotRun("the job wasn't accepted")
    if not await wait_for_all(site, 10):
        raise CannotRun("not all tasks have started")
    task = JOB + ".0.0.0"
    for _ in range(CRASHES):
        await asyncio.sleep(CALM_S)
        if TROUBLE:
            crashed = running(site)[task]
            site.kill(crashed)
            site.events.append({"event": "crash", "executor": crashed})
            await asyncio.sleep(DOWN_S)
            site.start_executor(crashed)
            await wait_for_all(site, 4)
        await site.client("GET", PATH, KEY)
    await asyncio.sleep(WATCH_S)
    status, value = await site.client("GET", PATH, KEY)
    failed_ends = [e for e in site.read_events() if e.get("how") == "failed"]
    site.record(f"ends listed as failed: {len(failed_ends)}; running: {json.dumps(running(site))}")
    if status == 200 and value.get("state") == "failed" and not failed_ends:
        site.rule_broken("LOST: the job is shown as failed; no run of it has ended `failed`, "
                         "and nobody has cancelled it")
    if len(running(site)) < TASKS:
        site.rule_broken(f"LOST: {TASKS - len(running(site))} of {TASKS} tasks that last don't "
                         f"run {WATCH_S} s after the last disruption, with all executors up")


play(__file__, main)
