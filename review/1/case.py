"""A task that lasts, whose executor crashes three times: does its job go on?"""

import asyncio
import json
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from deployment import TROUBLE, CannotRun, config, play, route, tenant  # noqa: E402

KEY = "key-of-drivers"
JOB = "5c0e7a21d94b36f8"
PATH = "/dispatch/" + JOB
CRASHES = 3
DOWN_S = 3.5  # Of a crashed executor; the site's list has up to 4.5 s.
CALM_S = 7.5  # More than stable_window_ms between two crashes.


def runs_at(site):
    """Executor on which the task runs, or None."""
    where = None
    for event in site.read_events():
        if event["event"] == "start":
            where = event["executor"]
        elif event["event"] == "end":
            where = None
    return where


async def wait_for_run(site, seconds):
    for _ in range(int(seconds * 10)):
        await asyncio.sleep(0.1)
        if (where := runs_at(site)) is not None:
            return where
    return None


async def main(site):
    await site.start(config([route("r-dispatch", "/dispatch/")], [tenant("drivers")]))
    job = {"spec": json.dumps({"lasts": True}),
           "steps": [{"count": 1, "cpu": 2000, "mem_mb": 1024, "estimated_ms": 1000,
                      "long_running": True}]}
    status, _ = await site.client("POST", PATH, KEY, job)
    if status != 200:
        raise CannotRun("the job wasn't accepted")
    where = await wait_for_run(site, 10)
    if where is None:
        raise CannotRun("the task didn't start")
    for _ in range(CRASHES):
        await asyncio.sleep(CALM_S)
        if TROUBLE:
            site.kill(where)
            site.events.append({"event": "end"})
            site.record(f"executor {where} has crashed; nothing runs there")
            await asyncio.sleep(DOWN_S)
            site.start_executor(where)
            where = await wait_for_run(site, 8) or where
        status, value = await site.client("GET", PATH, KEY)
    # The rule counts 6 s from the last run; then 4 s and 3 s of calm.
    await asyncio.sleep(14)
    status, value = await site.client("GET", PATH, KEY)
    failed_ends = [e for e in site.read_events() if e.get("how") == "failed"]
    site.record(f"ends listed as failed: {len(failed_ends)}")
    if status == 200 and value.get("state") == "failed" and not failed_ends:
        site.rule_broken("LOST: the job is shown as failed; no run of it has ended `failed`, "
                         "and nobody has cancelled it")
    if runs_at(site) is None:
        site.rule_broken("LOST: the task that lasts has had no run for 14 s, with all "
                         "executors up and empty")


play(__file__, main)
