"""An executor fails what it starts for some seconds: is it used again afterwards?"""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from deployment import TROUBLE, CannotRun, config, play, route, tenant  # noqa: E402

KEY = "key-of-drivers"
EXECUTORS = 12
GREY = "e1"  # The only executor of its kind.
KIND = "b"
GREY_S = 6.5
CALM_S = 7
FINISH_S = 14
LAST_JOB = "0b7d9c4e5f6a1238"


def job(count, spec, **step):
    return {"spec": json.dumps(spec),
            "steps": [{"count": count, "cpu": 1000, "mem_mb": 1024, "estimated_ms": 500,
                       "constraints": KIND, **step}]}


def starts(site, job_id):
    return [e for e in site.read_events()
            if e["event"] == "start" and e["task"].startswith(job_id)]


async def main(site):
    site.labels = lambda name: [KIND if name == GREY else "a", "r1-1"]
    await site.start(config([route("r-dispatch", "/dispatch/", max_attempts=4)],
                            [tenant("drivers")]))
    lasting = f"{1:016x}"
    status, _ = await site.client("POST", "/dispatch/" + lasting, KEY,
                                  job(1, {"lasts": True}, long_running=True))
    if status != 200:
        raise CannotRun("a job wasn't accepted")
    await asyncio.sleep(1.5)
    if not starts(site, lasting):
        raise CannotRun("the lasting task didn't start")
    if TROUBLE:
        await site.tell_executor(GREY, {"fail_s": GREY_S})
    for number in range(6):
        await site.client("POST", f"/dispatch/{100 + number:016x}", KEY, job(2, {"ms": 300}))
        await asyncio.sleep(GREY_S / 6)
    await asyncio.sleep(CALM_S)
    status, _ = await site.client("POST", "/dispatch/" + LAST_JOB, KEY, job(1, {"ms": 300}))
    if status != 200:
        raise CannotRun("the last job wasn't accepted")
    await asyncio.sleep(FINISH_S + 3)
    status, value = await site.client("GET", "/dispatch/" + LAST_JOB, KEY)
    begun = starts(site, LAST_JOB)
    site.record(f"starts of the last job: {len(begun)}")
    if not begun:
        site.rule_broken(f"LOST: the job is {value} {FINISH_S + 3} s after it was accepted; "
                         f"executor {GREY} is up, has been sound for {CALM_S + FINISH_S + 3} s, "
                         "and 15 of its 16 cores are free")


play(__file__, main, executors=EXECUTORS)
