"""Sends inputs beyond the limits to one entry host, one input after the other.

Each case fails if the host has ended, its peak memory exceeds its configured
memory, descriptors of closed connections stay open, or an ordinary request is
not answered afterwards. Times and shares of served requests are not checked.
"""

import argparse
import http.client
import json
import os
import socket
import struct
import subprocess
import sys
import threading
import time

HOST_NAME = "day.example"
KEY = "key-of-team-0"
FLOOD_CONNECTIONS = 12
FLOOD_BYTES = 16 << 20  # On each connection.
SLOW_CONNECTIONS = 400  # 100 MB of bodies of MAX_BODY bytes.
MAX_BODY = 262_144
SOCKET_TIMEOUT_S = 3
HOLD_S = 0.7  # Lets the host read what was sent.
PATIENCE_S = 10
SPARE_DESCRIPTORS = 32
MOST_DESCRIPTORS = 1024
BLOCK = 64 << 10


def head(path, headers, key=KEY):
    lines = [f"POST {path} HTTP/1.1", f"Host: {HOST_NAME}"]
    if key:
        lines.append(f"X-Key: {key}")
    return ("\r\n".join(lines + headers) + "\r\n").encode()


def chunked(path, key=KEY):
    return head(path, ["Transfer-Encoding: chunked"], key) + b"\r\n"


def sized(path, size, key=KEY):
    return head(path, [f"Content-Length: {size}"], key) + b"\r\n"


def repeated(text):
    return text * (BLOCK // len(text))


def flood_cases(path):
    """(name, first bytes, bytes that are repeated) for one port."""
    return [
        ("trailers", chunked(path) + b"0\r\n", repeated(b"T: abcdefgh\r\n")),
        ("trailers without key", chunked(path, None) + b"0\r\n",
         repeated(b"T: abcdefgh\r\n")),
        ("one trailer line", chunked(path) + b"0\r\nT: ", b"a" * BLOCK),
        ("header fields", head(path, []), repeated(b"T: abcdefgh\r\n")),
        ("one chunk extension", chunked(path) + b"1;a=", b"a" * BLOCK),
        ("chunk extensions", chunked(path),
         repeated(b"1;" + b"a" * 4000 + b"\r\nb\r\n")),
        ("body announced as 10 GB", sized(path, 10 << 30), b" " * BLOCK),
        ("endless chunks", chunked(path),
         b"%x\r\n" % BLOCK + b" " * BLOCK + b"\r\n"),
    ]


def slow_cases(path):
    """(name, request without its last byte) for one port."""
    within, over = MAX_BODY, 4 * MAX_BODY
    cases = []
    for key in (KEY, None):
        suffix = "" if key else " without key"
        cases.append((f"slow bodies within the limit{suffix}",
                      sized(path, within, key) + b" " * (within - 1)))
        cases.append((f"slow bodies over the limit{suffix}",
                      sized(path, over, key) + b" " * (over - 1)))
        cases.append((f"slow chunked bodies{suffix}",
                      chunked(path, key) + b"%x\r\n" % within +
                      b" " * (within - 1)))
    return cases


class Host:
    """The entry host under test: restarted after a case that it failed."""

    def __init__(self, arguments):
        self.command = [arguments.binary, "host", "--settings",
                        arguments.settings]
        self.memory_kb = arguments.memory_mb * 1024
        self.callers = address(arguments.callers)
        self.readiness = address(arguments.readiness)
        self.log = open(arguments.log, "ab")
        self.process = None
        self.jobs = 0

    def start(self):
        self.process = subprocess.Popen(self.command, stdout=self.log,
                                        stderr=self.log)
        if not self.eventually(self.ready):
            raise SystemExit("the entry host does not become ready")

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def alive(self):
        return self.process.poll() is None

    def peak_kb(self):
        with open(f"/proc/{self.process.pid}/status") as status:
            for line in status:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1])
        return 0  # A process that has ended has no such line.

    def within_memory(self):
        return self.peak_kb() <= self.memory_kb

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def eventually(self, condition):
        until = time.monotonic() + PATIENCE_S
        while time.monotonic() < until and self.alive():
            try:
                if condition():
                    return True
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.05)
        return False

    def ready(self):
        return self.call(self.readiness, "GET", "/buckthornmux/readiness") == 200

    def serves(self):
        self.jobs += 1
        return self.submit(f"/batches/{self.jobs:016x}", MAX_BODY // 64) == 200

    def submit(self, path, size):
        job = json.dumps({"spec": "", "steps": [
            {"count": 1, "cpu": 100, "mem_mb": 10, "estimated_ms": 50}]})
        return self.call(self.callers, "POST", path, job.ljust(size))

    @staticmethod
    def call(to, method, path, body=None):
        connection = http.client.HTTPConnection(*to, timeout=SOCKET_TIMEOUT_S)
        try:
            connection.request(method, path, body, {
                "Host": HOST_NAME, "X-Key": KEY, "X-Deadline-Ms": "2500"})
            return connection.getresponse().status
        finally:
            connection.close()


def address(text):
    ip, port = text.rsplit(":", 1)
    return ip, int(port)


def connect(to):
    return socket.create_connection(to, timeout=SOCKET_TIMEOUT_S)


def flood(host, to, first, block):
    def run():
        try:
            with connect(to) as connection:
                connection.sendall(first)
                for _ in range(FLOOD_BYTES // len(block)):
                    if not host.within_memory():
                        return
                    connection.sendall(block)
                time.sleep(HOLD_S)
        except OSError:
            pass  # The host may close the connection at any time.

    threads = [threading.Thread(target=run) for _ in range(FLOOD_CONNECTIONS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def hold(host, to, count, request):
    """Sends a request without its end on many connections, and keeps them."""
    kept = []
    for _ in range(count):
        try:
            kept.append(connect(to))
            kept[-1].sendall(request)
        except OSError:
            pass
        if not host.alive() or not host.within_memory():
            break
    time.sleep(HOLD_S)
    descriptors = host.descriptors() if host.alive() else 0
    for connection in kept:
        connection.close()
    return descriptors


def verdict(host, before, most):
    """What is wrong after a case; empty if nothing is."""
    if not host.alive():
        return f"the host has ended ({host.process.returncode})"
    if not host.within_memory():
        return f"peak of {host.peak_kb()} KB, bound {host.memory_kb} KB"
    if most > MOST_DESCRIPTORS:
        return f"{most} descriptors"
    if not host.eventually(
            lambda: host.descriptors() <= before + SPARE_DESCRIPTORS):
        return f"{host.descriptors()} descriptors stay, {before} before"
    if not host.eventually(host.serves):
        return "an ordinary request is not answered"
    if not host.within_memory():
        return f"peak of {host.peak_kb()} KB, bound {host.memory_kb} KB"
    return ""


def plays(arguments):
    """(name, function of the host that returns the descriptors seen)."""
    ports = [("callers", address(arguments.callers), "/batches/00000000000000ff"),
             ("readiness", address(arguments.readiness),
              "/buckthornmux/readiness"),
             ("metrics", address(arguments.metrics), "/metrics")]
    for port, to, path in ports:
        for name, first, block in flood_cases(path):
            yield (f"{port}: {name}",
                   lambda host, t=to, f=first, b=block: flood(host, t, f, b))
        for name, request in slow_cases(path):
            yield (f"{port}: {name}",
                   lambda host, t=to, r=request: hold(
                       host, t, SLOW_CONNECTIONS, r))
    # Only some of the announced bytes of each frame are sent.
    frame = struct.pack(">I", 8 << 20) + b"\0" * 1000
    yield ("peers: unfinished frames",
           lambda host: hold(host, address(arguments.peers),
                             FLOOD_CONNECTIONS, frame))


def main():
    parser = argparse.ArgumentParser()
    for name in ("binary", "settings", "log", "callers", "readiness", "metrics",
                 "peers"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--memory-mb", type=int, required=True)
    arguments = parser.parse_args()
    host = Host(arguments)
    failed = 0
    host.start()
    try:
        # The limit itself is served: a body of exactly MAX_BODY bytes.
        if not host.eventually(
                lambda: host.submit("/batches/00000000000000aa", MAX_BODY) == 200):
            print("BROKEN a body of the greatest size is not served")
            failed += 1
        for name, play in plays(arguments):
            before = host.descriptors()
            most = play(host) or 0
            wrong = verdict(host, before, most)
            print(f"{'BROKEN' if wrong else 'good'} {name}"
                  f"{': ' + wrong if wrong else ''}", flush=True)
            if wrong:
                failed += 1
                host.stop()
                host.start()
        print(f"{failed} broken, peak {host.peak_kb()} KB")
    finally:
        host.stop()
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
