"""A small deployment on loopback: the platform's store, executors and clients as
stand-ins, entry hosts as real processes of the project.

The store runs in this process; hosts and executors are processes of their own,
which a case may signal. All times in the record are Unix times in ms.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

from http1 import call, serve

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
PROGRAM = os.path.join(ROOT, "target/release/buckthornmux")
HEARTBEAT_S = 1.5
SERVICE = "pool"
KEY = "key-of-tenant-one"
HOST_NAME = "jobs.example"
PREFIX = "/queue/"
METRICS_PORT = 7434  # deploy/system.toml
INTERNAL_PORTS = 16
# Limits of the store (PROTOCOL.md).
MAX_PAGE_ITEMS = 500
MAX_PAGE_BYTES = 1_000_000
MAX_ENTRIES = 32
MAX_KEY_BYTES = 200
MAX_VALUE_BYTES = 1_048_576


def now_ms():
    return int(time.time() * 1000)


class Store:
    """The platform's key-value store (PROTOCOL.md)."""

    def __init__(self):
        self.items, self.leases, self.events = {}, {}, []
        self.revision, self.next_lease = 10, 1000
        self.changed = asyncio.Condition()

    def put(self, key, text, lease=0):
        """Writes a key at the current revision."""
        old = self.items.get(key)
        self.items[key] = {"key": key,
                           "value": base64.b64encode(text).decode(),
                           "revision": self.revision,
                           "created": old["created"] if old else self.revision,
                           "lease": lease}
        self.events.append(dict(self.items[key]))

    def delete(self, key):
        """Deletes a key at the current revision."""
        if self.items.pop(key, None):
            self.events.append({"key": key, "revision": self.revision,
                                "deleted": True})

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def write(self, key, value):
        """A write by the operator or by an executor."""
        self.revision += 1
        self.put(key, json.dumps(value).encode())
        await self.notify()

    async def remove(self, key):
        self.revision += 1
        self.delete(key)
        await self.notify()

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            ended = [lease for lease, (until, _) in self.leases.items()
                     if time.monotonic() > until]
            for lease in ended:
                self.end(lease)
            if ended:
                await self.notify()

    def end(self, lease):
        self.revision += 1
        del self.leases[lease]
        for key in [k for k, item in self.items.items()
                    if item["lease"] == lease]:
            self.delete(key)

    async def handle(self, method, target, _headers, body):
        path, _, query = target.partition("?")
        path = path.removeprefix("/buckthornmux/")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        body = json.loads(body or b"{}")
        if path == "kv-key":
            item = self.items.get(query["key"])
            return ((200, {**item, "current_rev": self.revision}) if item else
                    (404, {"current_rev": self.revision}))
        if path == "kv-range":
            return 200, self.page(query["prefix"], query.get("after", ""))
        if path == "kv-watch":
            return await self.watch(query)
        if path == "kv-txn":
            return await self.transaction(body)
        if path == "kv-lease":
            ttl = max(1000, min(body["ttl_ms"], 600_000))
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        name, _, lease = path.partition("/")
        lease = int(lease or 0)
        if lease not in self.leases:
            return 404, {}
        if name == "kv-keep":
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttl_ms": ttl}
        self.end(lease)
        await self.notify()
        return 200, {}

    def page(self, prefix, after):
        keys = sorted(key for key in self.items
                      if key.startswith(prefix) and key > after)
        items, size = [], 0
        for key in keys[:MAX_PAGE_ITEMS]:
            size += len(self.items[key]["value"])
            if items and size > MAX_PAGE_BYTES:
                break
            items.append(self.items[key])
        return {"items": items, "has_more": len(items) < len(keys),
                "current_rev": self.revision}

    async def watch(self, query):
        until = time.monotonic() + min(int(query["wait_ms"]), 30_000) / 1000
        after, prefix = int(query["after"]), query["prefix"]
        while True:
            found = [event for event in self.events
                     if event["revision"] > after and
                     event["key"].startswith(prefix)]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "current_rev": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transaction(self, body):
        conditions = body.get("precondition", [])
        writes, deletes = body.get("writes", []), body.get("deletes", [])
        keys = [write["key"] for write in writes] + deletes
        if (len(conditions) + len(keys) > MAX_ENTRIES or
                any(len(key) > MAX_KEY_BYTES for key in keys) or
                any(len(base64.b64decode(write["value"])) > MAX_VALUE_BYTES
                    for write in writes)):
            return 400, {}
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        current = [self.items.get(row["key"]) for row in conditions]
        if any((item["revision"] if item else 0) != row["revision"]
               for item, row in zip(current, conditions)):
            return 412, {"items": [item for item in current if item]}
        if any(write.get("lease", 0) and write["lease"] not in self.leases
               for write in writes):
            return 404, {}
        self.revision += 1  # All changes of a transaction have one revision.
        for write in writes:
            self.put(write["key"], base64.b64decode(write["value"]),
                     write.get("lease", 0))
        for key in deletes:
            self.delete(key)
        await self.notify()
        return 200, {"revision": self.revision}


class Fleet:
    def __init__(self, record):
        self.record = open(record, "w", encoding="utf-8")
        # run.sh names the folder and removes it.
        self.folder = (os.environ.get("REVIEW_FOLDER") or
                       tempfile.mkdtemp(prefix="review-"))
        self.network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.processes, self.executors, self.hosts = {}, {}, {}
        self.store = Store()
        self.tasks = []

    def note(self, event, **fields):
        self.record.write(json.dumps({"at": now_ms(), "event": event, **fields})
                          + "\n")
        self.record.flush()

    def port(self, ip):
        with socket.socket() as probe:
            probe.bind((ip, 0))
            return probe.getsockname()[1]

    def free_ports(self, ip):
        """Returns the first of INTERNAL_PORTS ports that are free for TCP and
        UDP on an address; the port of the metrics has to be free too."""
        def is_free(port):
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    try:
                        probe.bind((ip, port))
                    except OSError:
                        return False
            return True
        if not is_free(METRICS_PORT):
            raise RuntimeError("the port of the metrics is taken")
        for first in range(21000, 31000, INTERNAL_PORTS):
            if all(is_free(first + n) for n in range(INTERNAL_PORTS)):
                return first
        raise RuntimeError("no ports are free")

    def address(self, number):
        ip = f"{self.network}.{number}"
        return f"{ip}:{self.port(ip)}"

    async def start(self, hosts, executors, routes=None):
        """Starts the store, `executors` executors and `hosts` entry hosts."""
        self.store_address = self.address(1)
        await serve(self.store_address, self.store.handle)
        self.tasks.append(asyncio.create_task(self.store.expire()))
        await self.configure(1, routes)
        for n in range(executors):
            await self.start_executor(f"i-{n:08x}")
        self.tasks.append(asyncio.create_task(self.beat()))
        for n in range(hosts):
            self.start_host(f"host-{n}", n)
        await self.wait_ready()

    async def configure(self, version, routes=None):
        routes = routes or [{"name": "r-one", "prefix": PREFIX}]
        common = {"hostname": HOST_NAME, "type": "non_idempotent",
                  "timeout_ms": 3000, "target_runtime_ms": 1000, "priority": 1,
                  "service": SERVICE, "max_attempts": 4, "stretch": 2.0,
                  "public": False}
        await self.store.write("op/config", {
            "version": version, "routes": [{**common, **r} for r in routes],
            "services": [{"name": SERVICE, "health_path": "/health",
                          "max_connections": 64, "protocol": "h1", "tls": False,
                          "admission_check": False, "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "one", "api_keys": [KEY], "priority": 1,
                         "weight": 30,
                         "maximum": {"cpu": 400000, "mem_mb": 800000,
                                     "gpu": 0}}]})
        self.note("configuration", version=version)

    # ---- Executors ----------------------------------------------------------

    async def start_executor(self, name, labels=("a", "rack-0")):
        """Starts an executor, or starts it again under its id."""
        known = self.executors.get(name)
        address = (known["address"] if known else
                   self.address(100 + len(self.executors)))
        born = now_ms()
        self.executors[name] = {"address": address, "born": born, "sequence": 0,
                                "seen": time.monotonic(), "listed": True,
                                "state": "ready",
                                "labels": known["labels"] if known else labels}
        self.spawn(name, [sys.executable, os.path.join(HERE, "executor.py"),
                          address, name, str(born),
                          os.path.join(self.folder, "runs.log")], {})
        self.note("executor_started", executor=name, born=born)
        while (await call(address, "GET", "/health", {}, None, 1))[0] != 200:
            await asyncio.sleep(0.02)
        await self.report(name)

    async def report(self, name):
        executor = self.executors[name]
        executor["sequence"] += 1
        executor["seen"] = time.monotonic()
        executor["listed"] = True
        await self.store.write(f"servers/{name}", {
            "service": SERVICE, "address": executor["address"], "zone": "zone-0",
            "version": "v1", "slots": 8, "state": executor["state"],
            "cold_remaining_ms": 0,
            "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
            "labels": list(executor["labels"]),
            "clock_ms": now_ms() - executor["born"],
            "sequence": executor["sequence"], "born": executor["born"]})

    async def beat(self):
        """Heartbeats of the executors; an entry is removed after three that are
        missing."""
        while True:
            await asyncio.sleep(0.05)
            for name, executor in list(self.executors.items()):
                silent = time.monotonic() - executor["seen"]
                if name in self.processes and silent >= HEARTBEAT_S:
                    await self.report(name)
                elif executor["listed"] and silent >= 3 * HEARTBEAT_S:
                    executor["listed"] = False
                    await self.store.remove(f"servers/{name}")

    # ---- Hosts and other processes ------------------------------------------

    def start_host(self, name, number):
        if name not in self.hosts:
            ip = f"{self.network}.{10 + number}"
            first = self.free_ports(ip)
            self.hosts[name] = {"ip": ip, "number": number, "first": first,
                                "frontend": f"{ip}:{self.port(ip)}",
                                "readiness": f"{ip}:{self.port(ip)}"}
        host = self.hosts[name]
        path = os.path.join(self.folder, name + ".conf")
        with open(path, "w", encoding="utf-8") as out:
            out.write(f"""node={name}
role=entry
machine_class=edge
serves=edge
ip={host["ip"]}
zone=zone-{host["number"]}
region=here
zones.zone-0=here
zones.zone-1=here
zones.zone-2=here
listen.frontend={host["frontend"]}
listen.readiness={host["readiness"]}
internal_ports={host["first"]},{host["first"] + INTERNAL_PORTS - 1}
bootstrap=true
loss_counts=false
limits.cpu_share=0.25
limits.cores=1
limits.memory_mb=260
limits.file_descriptors=4200
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1500
fault_tolerance.machines=2
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.stable_window_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=6
bounds.loss_slack_ms=200
bounds.config_ms=2000
bounds.rollback_slack_ms=250
bounds.max_skew_ms=5000
bounds.strict_revocation=true
bounds.revoke_ms=5000
bounds.quota_overage=0.1
bounds.recovery_s=12
bounds.hold_max_ms=10000
bounds.stop_ms=200
bounds.gang_timeout_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.far_x=3
bounds.checkpoint_interval_s=1
bounds.restore_ms=250
orders=call
advice={self.network}.2:9
platform.address={self.store_address}
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes={MAX_VALUE_BYTES}
platform.ttl_min_ms=1000
""")
        self.spawn(name, [PROGRAM, "host"], {"BUCKTHORNMUX_CONFIG": path})
        self.note("host_started", host=name)

    def spawn(self, name, command, variables):
        out = open(os.path.join(self.folder, name + ".out"), "ab")
        self.processes[name] = subprocess.Popen(
            command, stdout=out, stderr=out, stdin=subprocess.DEVNULL, cwd=ROOT,
            env={**os.environ, **variables})
        out.close()

    def signal(self, name, number):
        """Signals a process that this fleet started."""
        self.note("signal", process=name, signal=signal.Signals(number).name)
        process = self.processes[name]
        process.send_signal(number)
        if number == signal.SIGKILL:
            process.wait()
            del self.processes[name]

    async def wait_ready(self):
        for host in self.hosts.values():
            for _ in range(200):
                status, _ = await call(host["readiness"], "GET",
                                       "/buckthornmux/readiness", {}, None, 1)
                if status == 200:
                    break
                await asyncio.sleep(0.05)
            else:
                raise RuntimeError("a host doesn't become ready")

    def stop(self):
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    # ---- Clients ------------------------------------------------------------

    async def client(self, method, path, value=None, host="host-0", key=KEY,
                     timeout=3.0, quiet=False):
        began = now_ms()
        status, answer = await call(
            self.hosts[host]["frontend"], method, path,
            {"Host": HOST_NAME, "X-Key": key,
             "X-Deadline-Ms": str(int(timeout * 1000))}, value, timeout + 0.2)
        if not quiet:
            self.note("call", method=method, path=path, host=host, sent=began,
                      body=value, status=status, answer=answer)
        return status, answer

    async def submit(self, job, steps, spec, prefix=PREFIX, tries=5):
        """Hands a job in, again after each refusal or missing answer."""
        body = {"spec": json.dumps(spec), "steps": steps}
        hosts = list(self.hosts)
        for n in range(tries):
            status, _ = await self.client("POST", prefix + job, body,
                                          host=hosts[n % len(hosts)])
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, job, prefix=PREFIX, quiet=True):
        for name in self.hosts:
            status, answer = await self.client("GET", prefix + job, host=name,
                                               quiet=quiet)
            if status == 200:
                return answer["state"]
            if status == 410:
                return "gone"
        return None

    def runs(self):
        """What the executors have logged."""
        path = os.path.join(self.folder, "runs.log")
        if not os.path.exists(path):
            return []
        with open(path, encoding="utf-8") as lines:
            return [json.loads(line) for line in lines]

    def place_of(self, task):
        """Executor of the task's last run, if that runs."""
        place = None
        for row in self.runs():
            if row.get("task") == task:
                place = row["executor"] if row["event"] == "start" else None
        return place

    def finish(self, verdict, broken):
        for row in self.runs():
            self.record.write(json.dumps(row) + "\n")
        for name in self.hosts:
            with open(os.path.join(self.folder, name + ".out"),
                      encoding="utf-8") as lines:
                for line in lines:
                    if any(f"event={event} " in line for event in
                           ("task_suspected", "job_ended", "range_gained",
                            "target_restarted", "task_start", "run_dropped")):
                        self.record.write(f"# {name}: {line}")
        self.note("verdict", broken=broken, why=verdict)
        print(("broken: " if broken else "held: ") + verdict)


async def wait_for(seconds, condition):
    """Waits until the condition holds; false if it doesn't in time."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        found = condition()
        if asyncio.iscoroutine(found):
            found = await found
        if found:
            return True
        await asyncio.sleep(0.05)
    return False


def play(case):
    """Runs `case(fleet, trouble) -> (broken, why)` and exits with its verdict:
    1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    fleet = None
    code = 2
    try:
        if not os.path.exists(PROGRAM):
            raise RuntimeError("target/release/buckthornmux is not built")

        async def run():
            nonlocal fleet
            fleet = Fleet(sys.argv[1])
            trouble = os.environ.get("TROUBLE", "1") != "0"
            async with asyncio.timeout(110):
                return await case(fleet, trouble)
        broken, why = asyncio.run(run())
        fleet.finish(why, broken)
        code = 1 if broken else 0
    except Exception as error:  # The case couldn't run, whatever the cause.
        print(f"can't run: {type(error).__name__}: {error}")
    finally:
        if fleet is not None:
            fleet.stop()
    sys.exit(code)
