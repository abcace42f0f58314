#!/usr/bin/env python3
"""partition_soak.py PROGRAM SEED ROUNDS

Plays entry hosts in real time, on loopback, with the stand-ins of review/lib2. The
hosts reach each other through proxies. In each round the owner of the cell is cut off
from the store and from the other hosts, the store becomes silent for all, and leases
expire; the bytes that a connection carries are delivered after the cut, when a kernel
would send them again. In between, connections are delayed or reset, one direction is
cut, and hosts are stopped and continued in turn. Callers repeat a submit at other hosts,
and some leave early.

A job that was refused in all answers must not run, and an accepted one must end. Jobs
that ran although the last answer was a refusal are counted. Exits with 1 on a fault.
"""
import asyncio
import base64
import collections
import json
import logging
import os
import random
import shutil
import signal
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "review", "lib2"))
import fleet  # noqa: E402
from http1 import call, serve  # noqa: E402

HOSTS = 6
TARGETS = 12
JOBS_PER_S = 30
TASK_MS = 300
DEADLINE_S = 3.0
TRIES = 5
LEAVE_SHARE = 0.1
REFUSALS = (429, 503)
OPEN_ENDS = (None, 502, 504)
POLL_S = 0.01
FIRST_RETRANSMIT_S = 0.2  # Doubles with each retransmission, as in TCP.
CALM_S = 4.0
FINISH_S = 14.0


class Faults:
    """What is disturbed at present."""

    def __init__(self):
        self.cut = set()  # Hosts without the other hosts and the store.
        self.cut_ways = set()  # (from, to): pairs of hosts, one direction.
        self.silent = set()  # Hosts that the store does not answer.
        self.delay_s = 0.0  # Of each chunk between hosts.

    def between(self, source, sink):
        return bool(self.cut & {source, sink}) or (source, sink) in self.cut_ways

    async def retransmit(self, source, sink):
        pause = FIRST_RETRANSMIT_S
        while self.between(source, sink):
            await asyncio.sleep(pause)
            pause *= 2
        await asyncio.sleep(self.delay_s)


class Proxy(asyncio.DatagramProtocol):
    """Way from one host to another, TCP and UDP on one address."""

    def __init__(self, faults, source, sink):
        self.faults, self.source, self.sink = faults, source, sink
        self.target = self.datagrams = self.server = None
        self.writers = set()

    async def listen(self, ip):
        self.server = await asyncio.start_server(self.pass_connection, ip, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(ip, port))

    def refuse_connections(self):
        self.server.close()

    async def accept_connections(self):
        ip, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(
            self.pass_connection, ip, int(port), reuse_address=True)

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def lead_to(self, address):
        """Returns the address of this way to a host that listens on `address`."""
        if self.target is None:
            ip, port = address.rsplit(":", 1)
            self.target = (ip, int(port))
            asyncio.ensure_future(self.open_datagrams())
        return self.address

    async def open_datagrams(self):
        self.datagrams, _ = (
            await asyncio.get_running_loop().create_datagram_endpoint(
                asyncio.DatagramProtocol, remote_addr=self.target))

    def datagram_received(self, data, _):
        if self.datagrams and not self.faults.between(self.source, self.sink):
            self.datagrams.sendto(data)

    async def pass_connection(self, reader, writer):
        try:
            there, back = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        self.writers |= {writer, back}
        await asyncio.gather(self.pump(reader, back, self.source, self.sink),
                             self.pump(there, writer, self.sink, self.source))
        self.writers -= {writer, back}

    async def pump(self, reader, writer, source, sink):
        try:
            while data := await reader.read(65536):
                await self.faults.retransmit(source, sink)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass  # One end is gone: the other one is closed.
        finally:
            writer.close()


def store_for(store, faults, proxies, reader):
    """The store as `reader` sees it: other hosts' addresses lead through proxies."""
    def translate(item):
        if "members/" not in item.get("key", "") or "value" not in item:
            return item
        host = item["key"].split("members/")[-1]
        if host == reader:
            return item
        member = json.loads(base64.b64decode(item["value"]))
        member["peer_address"] = proxies[reader, host].lead_to(
            member["peer_address"])
        text = json.dumps(member).encode()
        return {**item, "value": base64.b64encode(text).decode()}

    async def answered():
        """Waits while the reader is cut off; false if the answer is lost."""
        while reader in faults.cut:
            await asyncio.sleep(POLL_S)
        lost = reader in faults.silent
        while reader in faults.silent:
            await asyncio.sleep(POLL_S)
        return not lost

    async def handle(method, target, headers, body):
        if not await answered():
            return None, None
        status, value = await store.handle(method, target, headers, body)
        if not await answered():
            return None, None
        value = translate(value)
        for field in ("items", "events"):
            if field in value:
                value = {**value, field: [translate(i) for i in value[field]]}
        return status, value
    return handle


async def start(deployment, faults):
    """Starts the store, targets, proxies and hosts; returns names and proxies."""
    deployment.store_address = deployment.address(1)
    await serve(deployment.store_address, deployment.store.handle)
    deployment.tasks.append(asyncio.create_task(deployment.store.expire()))
    await deployment.configure(1)
    for n in range(TARGETS):
        await deployment.start_executor(f"i-{n:08x}")
    deployment.tasks.append(asyncio.create_task(deployment.beat()))
    names = [f"host-{n}" for n in range(HOSTS)]
    proxies = {(a, b): Proxy(faults, a, b)
               for a in names for b in names if a != b}
    for proxy in proxies.values():
        await proxy.listen(f"{deployment.network}.3")
    for n, name in enumerate(names):
        deployment.store_address = deployment.address(1)
        await serve(deployment.store_address,
                    store_for(deployment.store, faults, proxies, name))
        deployment.start_host(name, n)
    await deployment.wait_ready()
    return names, proxies


async def submit(deployment, names, draw, tries):
    """One caller: each try goes to another host than the one before."""
    job = f"{draw.getrandbits(64):016x}"
    until = time.monotonic() + DEADLINE_S
    body = {"spec": json.dumps({"ms": TASK_MS}),
            "steps": [{"count": 2, "cpu": 1000, "mem_mb": 512,
                       "estimated_ms": TASK_MS}]}
    name = draw.choice(names)
    for _ in range(TRIES):
        left = until - time.monotonic()
        if left < 0.02:
            return
        leaves = draw.random() < LEAVE_SHARE
        status, _ = await call(
            deployment.hosts[name]["frontend"], "POST", fleet.PREFIX + job,
            {"Host": fleet.HOST_NAME, "X-Key": fleet.KEY,
             "X-Deadline-Ms": str(int(left * 1000))}, body,
            draw.uniform(0.05, left) if leaves else left)
        tries[job].append((fleet.now_ms(), name, status))
        if status not in (*OPEN_ENDS, *REFUSALS):
            return
        await asyncio.sleep(draw.uniform(0.9, 1.1) if status in REFUSALS
                            else draw.uniform(0.05, 0.3))
        name = draw.choice([other for other in names if other != name])


def owner_of(deployment, names):
    for key, item in deployment.store.items.items():
        if "owners/" in key:
            text = base64.b64decode(item["value"]).decode(errors="replace")
            return next((name for name in names if name in text), names[0])
    return names[0]


async def cut_off_owner(deployment, names, proxies, faults, draw):
    """The owner is cut off, then the store is silent for all. The former owner may
    reach the store first afterwards."""
    owner = owner_of(deployment, names)
    lasts = draw.choice([1.2, 3.0, 4.9, 4.9, 7.0])
    before = draw.uniform(0.5, 1.0)
    cut = [proxy for ends, proxy in proxies.items() if owner in ends]
    faults.cut.add(owner)
    for proxy in cut:
        proxy.refuse_connections()
    await asyncio.sleep(before)
    faults.silent.update(names)
    await asyncio.sleep(max(0.0, lasts - before))
    faults.cut.clear()
    for proxy in cut:
        await proxy.accept_connections()
    if draw.random() < 0.7:
        faults.silent.discard(owner)
        await asyncio.sleep(0.3)
    else:
        await asyncio.sleep(draw.choice([0.0, 0.1, 0.2]))
    faults.silent.clear()
    return f"cut {owner} {lasts} s"


async def disturb_connections(deployment, names, proxies, faults, draw):
    """Delays, one-way cuts and resets, which overlap."""
    faults.delay_s = draw.uniform(0.0, 0.3)
    a, b = draw.sample(names, 2)
    faults.cut_ways.add((a, b))
    await asyncio.sleep(draw.uniform(0.3, 2.0))
    for proxy in draw.sample(list(proxies.values()), 10):
        proxy.reset()
    await asyncio.sleep(draw.uniform(0.1, 0.5))
    faults.cut_ways.clear()
    faults.delay_s = 0.0
    return f"delays, {a} to {b} cut, resets"


async def stop_in_turn(deployment, names, proxies, faults, draw):
    """Hosts that get a part of the processor only, first the owner."""
    owner = owner_of(deployment, names)
    for _ in range(20):
        for name in (owner, draw.choice(names)):
            deployment.processes[name].send_signal(signal.SIGSTOP)
            await asyncio.sleep(draw.uniform(0.02, 0.15))
            deployment.processes[name].send_signal(signal.SIGCONT)
        await asyncio.sleep(0.02)
    return f"{owner} and others stopped in turn"


async def play(deployment, seed, rounds):
    """Returns the faults that were found."""
    draw = random.Random(seed)
    faults = Faults()
    names, proxies = await start(deployment, faults)
    tries = collections.defaultdict(list)

    async def load():
        while True:
            deployment.tasks.append(asyncio.create_task(
                submit(deployment, names, draw, tries)))
            await asyncio.sleep(draw.expovariate(JOBS_PER_S))
    callers = asyncio.create_task(load())
    told = []
    for _ in range(rounds):
        await asyncio.sleep(CALM_S)
        told.append(await cut_off_owner(deployment, names, proxies, faults, draw))
        await asyncio.sleep(draw.uniform(0.0, 1.0))
        other = draw.choice([disturb_connections, stop_in_turn])
        told.append(await other(deployment, names, proxies, faults, draw))
    callers.cancel()
    await asyncio.sleep(DEADLINE_S)
    print(f"seed {seed}: {'; '.join(told)}")
    return await judge(deployment, tries)


async def judge(deployment, tries):
    accepted = [job for job, t in tries.items() if any(s == 200 for *_, s in t)]
    open_jobs = set(accepted)
    until = time.monotonic() + FINISH_S
    while open_jobs and time.monotonic() < until:
        for job in sorted(open_jobs):
            if time.monotonic() >= until:
                break
            if await deployment.state(job) == "completed":
                open_jobs.discard(job)
    started = {}
    for row in deployment.runs():
        if row["event"] == "start":
            started.setdefault(row["task"].split(".")[0], row["at"])
    ran = {job: t for job, t in tries.items()
           if job in started and t and t[-1][2] in REFUSALS}
    always = [job for job, t in ran.items()
              if all(s in REFUSALS for *_, s in t)]
    answers = collections.Counter(str(s) for t in tries.values() for *_, s in t)
    print(f"  {len(tries)} jobs, {len(started)} run, answers {dict(answers)}; "
          f"refused in all answers and ran: {len(always)}; in the last: "
          f"{len(ran)}; accepted and not completed: {len(open_jobs)}")
    for job in [*always, *(job for job in ran if job not in always)][:5]:
        print("   ", job, tries[job], "first start", started[job])
    gone = [name for name, process in deployment.processes.items()
            if process.poll() is not None]
    return ([f"{job} ran, though it was refused in all answers" for job in always]
            + [f"{job} was accepted and does not end" for job in open_jobs]
            + [f"the process of {name} has ended" for name in gone])


def main():
    program, seed, rounds = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    logging.disable(logging.CRITICAL)
    fleet.PROGRAM = os.path.join(ROOT, program)
    deployment = fleet.Fleet(os.devnull)
    found = ["the play did not end"]
    try:
        found = asyncio.run(play(deployment, seed, rounds))
    finally:
        if found and os.environ.get("KEEP"):
            shutil.copytree(deployment.folder, os.environ["KEEP"],
                            dirs_exist_ok=True)
        deployment.stop()
    for each in found:
        print("FAULT", each)
    sys.exit(1 if found else 0)


main()
