"""An executor as PROTOCOL.md describes it, one process each.

    executor.py ADDRESS ID BORN LOG

A task's `spec` is JSON: {"ms": work in ms} or {"lasts": true}; "fail": true makes
each run end as failed. Starts and ends are appended to LOG, with Unix time in ms.
After SIGUSR1 the executor is unhealthy: it answers each start with 503 and does
nothing. SIGUSR2 ends that.
"""
import asyncio
import json
import signal
import sys
import time

from http1 import serve

START_UP_S = 0.2  # A lasting task is at work after this.


class Executor:
    def __init__(self, name, born, log):
        self.name, self.born, self.log = name, born, log
        self.began = time.monotonic()
        self.fence = 0
        self.deadline = 0  # On the own clock, ms.
        self.runs = {}  # (task, run) -> dict
        self.highest = {}  # task -> highest run that was stopped or has ended
        self.ends = []
        self.next_end = 1
        self.changed = asyncio.Event()
        self.unhealthy = False

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    def note(self, event, **fields):
        line = {"at": int(time.time() * 1000), "executor": self.name,
                "event": event, **fields}
        self.log.write(json.dumps(line) + "\n")
        self.log.flush()

    def end(self, task, number, how):
        del self.runs[task, number]
        self.highest[task] = max(self.highest.get(task, 0), number)
        self.ends.append([self.next_end, task, number, how, ""])
        self.next_end += 1
        self.note("end", task=task, run=number, how=how)
        self.changed.set()

    def percent(self, run):
        worked = time.monotonic() - run["at"]
        if run["spec"].get("lasts"):
            return 100 if worked >= START_UP_S else 0
        return max(0, min(99, int(100 * worked * 1000 / run["spec"]["ms"])))

    async def work(self):
        while True:
            await asyncio.sleep(0.01)
            if self.runs and self.clock() > self.deadline:
                for task, number in list(self.runs):
                    self.end(task, number, "lapsed")
            for (task, number), run in list(self.runs.items()):
                spec = run["spec"]
                worked = (time.monotonic() - run["at"]) * 1000
                if not spec.get("lasts") and worked >= spec["ms"]:
                    self.end(task, number,
                             "failed" if spec.get("fail") else "done")

    def extend(self, body):
        hold_max = 10_000
        wanted = min(body.get("deadline_ms", 0), self.clock() + hold_max)
        self.deadline = max(self.deadline, wanted)

    async def handle(self, method, path, headers, body):
        if path == "/health":
            return 200, {}
        expected = headers.get("x-expect-instance")
        if expected is not None and expected != self.name:
            return 421, {"clock_ms": self.clock(), "born": self.born}
        body = json.loads(body or b"{}")
        answer = {"clock_ms": self.clock(), "born": self.born}
        token = body.get("fencing_token", 0)
        if token < self.fence:
            return 409, {**answer, "reason": "fence"}
        self.fence = token
        if path == "/buckthornmux/run-start":
            if self.unhealthy:
                self.note("rejected", task=body["task"], run=body["run"])
                return 503, answer
            return self.start(body, answer)
        if path == "/buckthornmux/run-stop":
            task, number = body["task"], body["run"]
            self.highest[task] = max(self.highest.get(task, 0), number)
            if (task, number) in self.runs:
                self.end(task, number, "stopped")
            return 200, answer
        if path == "/buckthornmux/hold":
            return await self.hold(body)
        return 404, answer

    def start(self, body, answer):
        task, number = body["task"], body["run"]
        if (task, number) in self.runs:
            self.extend(body)
            return 200, answer
        if number <= self.highest.get(task, 0):
            self.extend(body)
            return 409, {**answer, "reason": "old"}
        if body.get("deadline_ms", 0) <= self.clock():
            return 409, {**answer, "reason": "late"}
        self.extend(body)
        self.runs[task, number] = {"spec": json.loads(body["spec"]),
                                   "at": time.monotonic()}
        self.note("start", task=task, run=number, token=body["fencing_token"])
        return 200, answer

    async def hold(self, body):
        self.extend(body)
        cursor = body.get("ack_cursor", 0)
        self.ends = [end for end in self.ends if end[0] > cursor]
        wait = min(body.get("wait_ms", 0), 2000) / 1000
        if wait and not self.ends:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        running = [[task, number, "", self.percent(run), 0]
                   for (task, number), run in self.runs.items()]
        return 200, {"clock_ms": self.clock(), "born": self.born,
                     "running": running, "ended": self.ends[:500]}


async def main():
    address, name, born, log = sys.argv[1:]
    with open(log, "a", encoding="utf-8") as out:
        executor = Executor(name, int(born), out)
        loop = asyncio.get_running_loop()
        for number, value in ((signal.SIGUSR1, True), (signal.SIGUSR2, False)):
            loop.add_signal_handler(number, setattr, executor, "unhealthy",
                                    value)
        await serve(address, executor.handle)
        await executor.work()


asyncio.run(main())
