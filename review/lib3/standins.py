"""Stand-ins of the users' platform on loopback: the store, executors, clients,
and the entry hosts under test, which run as separate processes.

All stand-ins share one event loop. They follow PROTOCOL.md; where it is silent
they behave like a sound store, executor or client.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BEGAN = time.monotonic()


def now_ms():
    """Milliseconds since the case began."""
    return int((time.monotonic() - BEGAN) * 1000)


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def note(self, event, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{now_ms():7d} {event} {text}\n")
        self.file.flush()


def first_ephemeral_port():
    """Ports from here on may be taken by outgoing connections at any time."""
    with open("/proc/sys/net/ipv4/ip_local_port_range", encoding="utf-8") as file:
        return int(file.read().split()[0])


def is_free(ip, port):
    with socket.socket() as sock:
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


TAKEN_PORTS = set()


def free_port(ips=("127.0.0.1",)):
    """A port that is free at all the addresses, and isn't given out again."""
    last = max(first_ephemeral_port(), 12_000) - 1
    for _ in range(1000):
        port = random.randint(max(1024, last - 10_000), last)
        if port not in TAKEN_PORTS and all(is_free(ip, port) for ip in ips):
            TAKEN_PORTS.add(port)
            return port
    raise OSError("no free port")


# ---- HTTP -------------------------------------------------------------------


async def read_message(reader):
    """Reads the head and body of a request or response; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


class Server:
    """An HTTP server whose handler returns (status, JSON object)."""

    def __init__(self, handler):
        self.handler = handler
        self.port = None
        self.server = None
        self.writers = set()

    async def listen(self, port=0):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", port, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def abort(self):
        """Closes the port and resets all connections, as a crash does."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ", 2)
                answer = await self.handler(method, target, message[1], message[2])
                if answer is None or writer not in self.writers:
                    break
                status, content = answer
                body = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, RuntimeError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(address, method, target, body=None, headers=None, timeout=3.0):
    """One call on a connection of its own; (status, JSON), or (None, reason)."""

    async def exchange():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(data)}"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            if data:
                lines.append("Content-Type: application/json")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None, "closed"
            status = int(message[0].split(" ")[1])
            return status, json.loads(message[2] or b"{}")
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return None, "no answer"
    except (ConnectionError, OSError, ValueError) as error:
        return None, type(error).__name__


# ---- Store ------------------------------------------------------------------


class Store:
    """The platform's store, which answers after 4 ms."""

    LATENCY_S = 0.004
    PAGE_ITEMS = 500

    def __init__(self):
        self.items = {}
        self.revision = 10
        self.history = []
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.server = Server(self.handle)

    async def start(self):
        await self.server.listen(free_port())
        asyncio.ensure_future(self.expire())

    @property
    def address(self):
        return f"127.0.0.1:{self.server.port}"

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        old = self.items.get(key)
        created = old["created"] if old else self.revision
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.history.append((self.revision, dict(self.items[key])))

    def erase(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append(
                (
                    self.revision,
                    {"key": key, "revision": self.revision, "deleted": True},
                )
            )

    def write(self, key, value):
        """A write of the operator or an executor; returns when it is accepted."""
        self.revision += 1
        self.put(key, json.dumps(value).encode())
        self.wake()
        return now_ms()

    def remove(self, key):
        self.revision += 1
        self.erase(key)
        self.wake()

    async def expire(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            for lease in [n for n, (_, until) in self.leases.items() if now >= until]:
                self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.erase(key)
            self.wake()
        return True

    async def handle(self, method, target, _headers, body):
        await asyncio.sleep(self.LATENCY_S)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        path = url.path.removeprefix("/buckthornmux/")
        if path == "kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"current_rev": self.revision}
            return 200, dict(item, current_rev=self.revision)
        if path == "kv-range":
            return self.range(query)
        if path == "kv-watch":
            return await self.watch(query)
        data = json.loads(body or b"{}")
        if path == "kv-txn":
            return self.transaction(data)
        if path == "kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ttl = max(1000, data["ttl_ms"])
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl}
        if path.startswith("kv-keep/"):
            lease = int(path.split("/")[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl}
        if path.startswith("kv-lease-end/"):
            return (200 if self.end_lease(int(path.split("/")[1])) else 404), {}
        return 404, {"path": path, "method": method}

    def range(self, query):
        after = query.get("after", "")
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["prefix"]) and key > after
        )
        page = [self.items[key] for key in keys[: self.PAGE_ITEMS]]
        return 200, {
            "items": page,
            "has_more": len(keys) > self.PAGE_ITEMS,
            "current_rev": self.revision,
        }

    async def watch(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            changed = self.changed
            events = [
                event
                for revision, event in self.history
                if revision > after and event["key"].startswith(query["prefix"])
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transaction(self, data):
        conditions = data.get("precondition", [])
        held = all(
            self.items.get(row["key"], {"revision": 0})["revision"] == row["revision"]
            for row in conditions
        )
        if not held:
            return 412, {"items": [self.items.get(row["key"]) for row in conditions]}
        writes = data.get("writes", [])
        if any(row.get("lease", 0) not in {0, *self.leases} for row in writes):
            return 404, {}
        self.revision += 1
        for row in writes:
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in data.get("deletes", []):
            self.erase(key)
        self.wake()
        return 200, {"revision": self.revision}


# ---- Executors --------------------------------------------------------------


class Executor:
    """One executor, which may crash and start again under its id."""

    HOLD_MAX_MS = 6000
    HEARTBEAT_S = 1.5

    def __init__(self, store, record, name, work, capacity, stop_ms=400):
        """work(job, step) returns a task's run time in ms; None: it lasts."""
        self.store = store
        self.record = record
        self.name = name
        self.work = work
        self.capacity = capacity
        self.stop_ms = stop_ms
        self.port = free_port()
        self.state = "ready"
        self.up = False
        self.starts = []  # (time, task, run, token)
        self.ends = []  # (time, task, run, how)
        self.runs = {}

    async def start(self):
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.token = 0
        self.deadline = 0
        self.runs = {}
        self.ended = []
        self.next_end = 1
        self.highest = {}
        self.sequence = 0
        self.acked = 0
        self.news = asyncio.Event()
        self.server = Server(self.handle)
        await self.server.listen(self.port)
        self.up = True
        self.tasks = [
            asyncio.ensure_future(self.beat()),
            asyncio.ensure_future(self.advance()),
        ]
        self.record.note("executor_up", id=self.name, born=self.born)

    def crash(self):
        self.record.note(
            "executor_crash",
            id=self.name,
            running=",".join(f"{task}/{run}" for task, run in self.runs) or "-",
        )
        self.up = False
        for task in self.tasks:
            task.cancel()
        self.server.abort()
        self.runs = {}
        self.store_forget = asyncio.ensure_future(self.expire_entry(self.born))

    async def expire_entry(self, born):
        """The entry goes after three heartbeat intervals of silence."""
        await asyncio.sleep(3 * self.HEARTBEAT_S)
        if not self.up and self.born == born:
            self.store.remove(f"servers/{self.name}")

    def leave(self):
        self.record.note("executor_left", id=self.name)
        self.up = False
        for task in self.tasks:
            task.cancel()
        self.server.abort()
        self.runs = {}
        self.store.remove(f"servers/{self.name}")

    def drain(self, remaining_ms):
        """Reports draining; returns when the store accepted it."""
        self.state = "draining"
        self.leaves_at = now_ms() + remaining_ms
        at = self.write_entry()
        self.record.note("executor_draining", id=self.name, remaining_ms=remaining_ms)
        return at

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    def write_entry(self):
        self.sequence += 1
        entry = {
            "service": "svc",
            "address": f"127.0.0.1:{self.port}",
            "zone": "zone-1",
            "version": "1",
            "slots": 8,
            "state": self.state,
            "sequence": self.sequence,
            "born": self.born,
            "capacity": self.capacity,
            "labels": ["a", "rack-1"],
        }
        if self.state == "draining":
            entry["remaining_ms"] = max(0, self.leaves_at - now_ms())
        return self.store.write(f"servers/{self.name}", entry)

    async def beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(self.HEARTBEAT_S)

    def end(self, key, how):
        if self.runs.pop(key, None) is None:
            return
        self.ended.append([self.next_end, key[0], key[1], how, ""])
        self.next_end += 1
        self.ends.append((now_ms(), key[0], key[1], how))
        self.record.note("end", id=self.name, task=key[0], run=key[1], how=how)
        self.news.set()
        self.news = asyncio.Event()

    async def advance(self):
        while True:
            await asyncio.sleep(0.01)
            clock = self.clock()
            for key, run in list(self.runs.items()):
                if clock >= self.deadline:
                    self.end(key, "lapsed")
                elif run["stop_at"] is not None and clock >= run["stop_at"]:
                    self.end(key, "stopped")
                elif run["work"] is not None and clock >= run["at"] + run["work"]:
                    self.end(key, "done")

    def percent(self, run):
        elapsed = self.clock() - run["at"]
        if run["work"] is None:
            return min(100, elapsed // 3)
        return min(99, elapsed * 100 // max(1, run["work"]))

    def extend(self, data):
        if data.get("deadline_ms"):
            latest = self.clock() + self.HOLD_MAX_MS
            self.deadline = max(self.deadline, min(latest, data["deadline_ms"]))

    def answer(self, status, **content):
        return status, {"clock_ms": self.clock(), "born": self.born, **content}

    async def handle(self, _method, target, headers, body):
        data = json.loads(body or b"{}")
        if headers.get("x-expect-instance", self.name) != self.name:
            return self.answer(421)
        if data.get("fencing_token", 0) < self.token:
            return self.answer(409, reason="fence")
        self.token = data.get("fencing_token", 0)
        if target.endswith("/run-start"):
            return self.run_start(data)
        if target.endswith("/run-stop"):
            return self.run_stop(data)
        if target.endswith("/hold"):
            return await self.hold(data)
        return self.answer(404)

    def run_start(self, data):
        key = (data["task"], data["run"])
        if key in self.runs:
            self.extend(data)
            return self.answer(200)
        if data["run"] <= self.highest.get(data["task"], 0):
            self.extend(data)
            return self.answer(409, reason="old")
        if data["deadline_ms"] <= self.clock():
            return self.answer(409, reason="late")
        self.extend(data)
        job, _, step, _ = data["task"].split(".")
        self.runs[key] = {
            "at": self.clock(),
            "work": self.work(job, int(step)),
            "stop_at": None,
        }
        self.highest[data["task"]] = data["run"]
        self.starts.append((now_ms(), *key, self.token))
        self.record.note(
            "start",
            id=self.name,
            state=self.state,
            task=key[0],
            run=key[1],
            token=self.token,
        )
        return self.answer(200)

    def run_stop(self, data):
        key = (data["task"], data["run"])
        self.record.note("stop", id=self.name, task=key[0], run=key[1])
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        run = self.runs.get(key)
        if run is not None and run["stop_at"] is None:
            run["stop_at"] = self.clock() + self.stop_ms // 2
        return self.answer(200)

    async def hold(self, data):
        self.extend(data)
        cursor = data.get("ack_cursor", 0)
        if cursor > self.acked:
            self.acked = cursor
            self.record.note("ack", id=self.name, cursor=cursor)
        self.ended = [row for row in self.ended if row[0] > cursor]
        wait = data.get("wait_ms", 0)
        if wait and not self.ended:
            try:
                await asyncio.wait_for(self.news.wait(), wait / 1000)
            except asyncio.TimeoutError:
                pass
        running = [
            [task, number, "", self.percent(run), 0]
            for (task, number), run in self.runs.items()
        ]
        return self.answer(200, running=running, ended=self.ended[:500])


# ---- Entry hosts ------------------------------------------------------------


class Hosts:
    """The entry hosts: the program and command of deploy/system.toml."""

    BOUNDS = {
        "stable_window_ms": 3000,
        "ack_ms": 4000,
        "drain_ms": 2000,
        "grace_s": 6,
        "config_ms": 2000,
        "strict_revocation": "true",
        "revoke_ms": 5000,
        "hold_max_ms": 6000,
        "stop_ms": 400,
        "gang_timeout_ms": 3000,
        "cancel_ms": 3000,
        "visible_ms": 3000,
        "finish_s": 14,
        "status_s": 120,
        "far_x": 1.5,
    }

    def __init__(self, store_address, count, record, command):
        self.record = record
        self.command = command
        self.folder = tempfile.mkdtemp(prefix="case-")
        self.store_address = store_address
        self.net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.ports = free_port([f"{self.net}.{n}" for n in range(1, count + 1)])
        self.names = [f"edge-{n}" for n in range(1, count + 1)]
        self.frontends = {}
        self.processes = {}
        for n, name in enumerate(self.names, 1):
            self.frontends[name] = f"127.0.0.1:{free_port()}"
            settings = [
                f"node={name}",
                "role=entry",
                "machine_class=edge",
                "serves=edge",
                f"ip={self.net}.{n}",
                "zone=zone-1",
                "region=region-1",
                f"listen.frontend={self.frontends[name]}",
                f"listen.readiness=127.0.0.1:{free_port()}",
                f"internal_ports={self.ports},{self.ports + 5}",
                "bootstrap=true",
                "limits.cpu_share=0.25",
                "limits.cores=1",
                "limits.memory_mb=260",
                "limits.file_descriptors=4100",
                "limits.link_mbps=1000.0",
                "heartbeat_ms=1500",
                "orders=call",
                "advice=127.0.0.1:9",
                f"platform.address={self.store_address}",
                "platform.value_bytes=1048576",
                "platform.ttl_min_ms=1000",
            ]
            settings += [f"bounds.{key}={value}" for key, value in self.BOUNDS.items()]
            with open(self.path(name, "conf"), "w", encoding="utf-8") as file:
                file.write("\n".join(settings) + "\n")

    def path(self, name, kind):
        return os.path.join(self.folder, f"{name}.{kind}")

    def start(self, name):
        with open(self.path(name, "out"), "ab") as out:
            self.processes[name] = subprocess.Popen(
                self.command.split(),
                cwd=ROOT,
                stdout=out,
                stderr=out,
                stdin=subprocess.DEVNULL,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": self.folder,
                    "BUCKTHORNMUX_CONFIG": self.path(name, "conf"),
                },
            )
        self.record.note("host_start", host=name)

    def signal(self, name, number):
        self.record.note("host_signal", host=name, signal=signal.Signals(number).name)
        self.processes[name].send_signal(number)

    def alive(self, name):
        return self.processes[name].poll() is None

    def owner(self):
        """The host that acted last as the leader, by its log."""
        last = (0, None)
        for name in self.processes:
            with open(self.path(name, "out"), encoding="utf-8", errors="replace") as f:
                for line in f:
                    if "event=range_gained" in line:
                        at = int(re.search(r"time_ms=(\d+)", line).group(1))
                        last = max(last, (at, name), key=lambda entry: entry[0])
        return last[1]

    def log(self, pattern):
        lines = []
        for name in self.processes:
            with open(self.path(name, "out"), encoding="utf-8", errors="replace") as f:
                lines += [f"{name} {line.strip()}" for line in f if re.search(pattern, line)]
        return lines

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP"):
            shutil.copytree(self.folder, os.environ["KEEP"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def deploy_command():
    """The command of the role in the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        return re.search(r'^run = "(.*)"$', file.read(), re.M).group(1)


class Platform:
    """The store, executors and hosts of a small deployment, and a client."""

    HOST_NAME = "jobs.example"
    KEY = "key-1"

    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store()
        self.executors = []
        self.hosts = None
        self.times = {}  # job -> run time of its tasks, ms; None: they last
        self.turn = 0

    def config(self, **changes):
        config = {
            "version": 1,
            "routes": [
                {
                    "name": "r1",
                    "hostname": self.HOST_NAME,
                    "prefix": "/r1/",
                    "service": "svc",
                    "priority": 1,
                    "max_attempts": 4,
                    "stretch": 4.0,
                    "target_runtime_ms": 20000,
                }
            ],
            "services": [{"name": "svc", "admission_check": False}],
            "tenants": [
                {"name": "t1", "api_keys": [self.KEY], "weight": 1000, "maximum": {}}
            ],
            "limits": {"max_body_bytes": 262144},
        }
        config.update(changes)
        return config

    async def start(self, executors, hosts=3, cpu=16000):
        await self.store.start()
        self.store.write("op/config", self.config())
        for n in range(executors):
            executor = Executor(
                self.store,
                self.record,
                f"i-{n:04x}",
                lambda job, step: self.times.get(job, 1000),
                {"cpu": cpu, "mem_mb": 32768},
            )
            self.executors.append(executor)
            await executor.start()
        self.hosts = Hosts(self.store.address, hosts, self.record, deploy_command())
        for name in self.hosts.names:
            self.hosts.start(name)

    async def request(self, method, path, body=None, timeout=3.0, host=None):
        """One try at one host, the next in turn unless it is named."""
        names = self.hosts.names
        self.turn += 1
        name = host or names[self.turn % len(names)]
        headers = {
            "Host": self.HOST_NAME,
            "X-Key": self.KEY,
            "X-Deadline-Ms": int(timeout * 1000),
        }
        status, content = await call(
            self.hosts.frontends[name], method, path, body, headers, timeout
        )
        return status, content, name

    async def submit(self, job, steps, time_ms, tries=6, quiet=False, **more):
        """Hands a job in, trying again as clients do; whether it was accepted."""
        self.times[job] = time_ms
        for _ in range(tries):
            status, content, name = await self.request(
                "POST", f"/r1/{job}", {"spec": "x", "steps": steps, **more}
            )
            if not quiet:
                self.record.note("submit", job=job, host=name, answer=status or content)
            if status is not None and status // 100 == 2:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, job, quiet=False):
        status, content, name = await self.request("GET", f"/r1/{job}")
        state = content.get("state") if status == 200 else status
        if not quiet:
            self.record.note("look", job=job, host=name, answer=state)
        return state

    async def ready(self, timeout=15):
        """Waits until a small job has been done."""
        until = time.monotonic() + timeout
        job = "00000000000000aa"
        while time.monotonic() < until:
            if await self.submit(job, [{"count": 1, "cpu": 100}], 100, tries=1):
                break
            await asyncio.sleep(0.2)
        while time.monotonic() < until:
            if await self.state(job) == "completed":
                return True
            await asyncio.sleep(0.2)
        return False

    def running(self, job):
        """Where the tasks of a job run: [(executor, task, run)]."""
        return [
            (executor, task, run)
            for executor in self.executors
            for task, run in executor.runs
            if executor.up and task.startswith(job + ".")
        ]


HELD, BROKEN, NOT_RUN = 10, 11, 2


def run_case(folder, play):
    """Plays a case, ends all that it started, and exits with its code."""
    platform = Platform(folder)

    def end(code):
        if platform.hosts is not None:
            platform.hosts.stop()
        text = {HELD: "held", BROKEN: "broken"}.get(code, "not run")
        print(text, flush=True)
        os._exit(code)  # Open calls of the stand-ins aren't waited for.

    async def main():
        try:
            code = await play(platform)
        except Exception as error:  # The case couldn't run.
            print("the case couldn't run:", repr(error))
            code = NOT_RUN
        end(code)

    signal.signal(signal.SIGTERM, lambda *_: end(NOT_RUN))
    asyncio.run(main())
