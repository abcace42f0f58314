"""Stand-in of an executor, as PROTOCOL.md describes it. One process each.

A task's `spec` is JSON that tells what the task does: {"ms": N} works for N ms
and ends as done; {"lasts": true} works until it is stopped.
  executor.py SETTINGS (a JSON object)
"""

import asyncio
import json
import sys
import time

from web import call, serve

HOLD_MAX_MS = 10000
STARTUP_MS = 300  # Until a task that lasts is at work.


class Executor:
    def __init__(self, settings):
        self.settings = settings
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.token = 0
        self.running = {}  # (task, run) -> dict(spec, since)
        self.highest = {}  # task -> highest run that was stopped or has ended
        self.ended = []
        self.next_end = 1
        self.acked = 0
        self.lease_ms = 0
        self.sequence = 0
        self.end_listed = asyncio.Event()
        self.fails_until = 0.0  # What starts before this time fails at once.
        self.log = open(settings["log"], "a", buffering=1)

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000)

    def note(self, event, task, run, **more):
        self.log.write(json.dumps({"time": time.time(), "executor": self.settings["id"],
                                   "born": self.born, "event": event, "task": task,
                                   "run": run, **more}) + "\n")

    def end(self, key, how):
        del self.running[key]
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.ended.append([self.next_end, key[0], key[1], how, ""])
        self.next_end += 1
        self.note("end", *key, how=how)
        listed, self.end_listed = self.end_listed, asyncio.Event()
        listed.set()

    async def run(self):
        while True:
            await asyncio.sleep(0.005)
            now = self.clock_ms()
            for key, state in list(self.running.items()):
                if now > self.lease_ms:
                    self.end(key, "lapsed")
                elif state["fails"]:
                    self.end(key, "failed")
                elif "ms" in state["spec"] and now - state["since"] >= state["spec"]["ms"]:
                    self.end(key, "done")

    async def report(self):
        settings = self.settings
        while True:
            self.sequence += 1
            entry = {"service": settings["service"], "address": settings["address"],
                     "zone": settings["zone"], "version": "v1", "slots": 8,
                     "state": "ready", "cold_remaining_ms": 0,
                     "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
                     "labels": settings["labels"], "clock_ms": self.clock_ms(),
                     "sequence": self.sequence, "born": self.born}
            await call(settings["store"], "POST", "/executor-reports",
                       body={"key": "servers/" + settings["id"], "value": json.dumps(entry)})
            await asyncio.sleep(settings["heartbeat_s"])

    def percent(self, state):
        worked = self.clock_ms() - state["since"]
        if "ms" in state["spec"]:
            return min(99, worked * 100 // max(1, state["spec"]["ms"]))
        return 100 if worked >= STARTUP_MS else 0

    def hold_until(self, deadline_ms):
        self.lease_ms = max(self.lease_ms, min(deadline_ms, self.clock_ms() + HOLD_MAX_MS))

    async def handle(self, request):
        if request.path == "/health":
            return 200, {}
        if request.path == "/trouble":  # From the case.
            self.fails_until = time.time() + request.json()["fail_s"]
            return 200, {}
        if request.headers.get("x-expect-instance", self.settings["id"]) != self.settings["id"]:
            return 421, {}
        body = request.json()
        if body.get("fencing_token", 0) < self.token:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.token = body.get("fencing_token", 0)
        if request.path == "/buckthornmux/run-start":
            return self.start(body)
        if request.path == "/buckthornmux/run-stop":
            return self.stop(body)
        if request.path == "/buckthornmux/hold":
            return await self.hold(body)
        return 404, {}

    def start(self, body):
        key = (body["task"], body["run"])
        clock = {"clock_ms": self.clock_ms()}
        if key in self.running:
            self.hold_until(body["deadline_ms"])
            return 200, clock
        if body["run"] <= self.highest.get(body["task"], 0):
            self.hold_until(body["deadline_ms"])
            return 409, {**clock, "reason": "old"}
        if body["deadline_ms"] <= self.clock_ms():
            return 409, {**clock, "reason": "late"}
        self.hold_until(body["deadline_ms"])
        self.running[key] = {"spec": json.loads(body["spec"]), "since": self.clock_ms(),
                             "fails": time.time() < self.fails_until}
        self.note("start", *key, token=self.token)
        return 200, clock

    def stop(self, body):
        key = (body["task"], body["run"])
        self.note("stop order", *key, token=self.token)
        if key in self.running:
            self.end(key, "stopped")
        else:
            self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        return 200, {"clock_ms": self.clock_ms()}

    async def hold(self, body):
        if "deadline_ms" in body:
            self.hold_until(body["deadline_ms"])
        self.acked = max(self.acked, body.get("ack_cursor", 0))
        self.ended = [end for end in self.ended if end[0] > self.acked]
        if body.get("wait_ms", 0) > 0 and not self.ended:
            try:
                await asyncio.wait_for(self.end_listed.wait(),
                                       min(body["wait_ms"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[task, run, "", self.percent(state), 100]
                   for (task, run), state in self.running.items()]
        return 200, {"clock_ms": self.clock_ms(), "born": self.born, "running": running,
                     "ended": self.ended[:500]}


async def main():
    settings = json.loads(sys.argv[1])
    executor = Executor(settings)
    ip, port = settings["address"].rsplit(":", 1)
    await serve(ip, int(port), executor.handle)
    await asyncio.gather(executor.run(), executor.report())


asyncio.run(main())
