"""Stand-in of the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
import time

from web import serve

PAGE_ITEMS = 500
PAGE_BYTES = 1 << 20
VALUE_BYTES = 1 << 20
TRANSACTION_ENTRIES = 32


class Store:
    def __init__(self, heartbeat_s):
        self.items = {}  # key -> dict(value, revision, created, lease)
        self.revision = 1
        self.history = []  # (revision, event)
        self.leases = {}  # id -> [ttl_s, end]
        self.next_lease = 1
        self.seen = {}  # executor's key -> time of its last report
        self.heartbeat_s = heartbeat_s
        self.changed = asyncio.Event()
        self.refused = []  # (path, reason)

    async def start(self, ip, port):
        self.server = await serve(ip, port, self.handle)
        self.task = asyncio.create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [i for i, (_, end) in self.leases.items() if end < now]:
                self.end_lease(lease)
            for key in [k for k, t in self.seen.items() if now - t > 3 * self.heartbeat_s]:
                del self.seen[key]
                if key in self.items:
                    self.apply([], [key])

    def end_lease(self, lease):
        del self.leases[lease]
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.apply([], keys)

    def apply(self, writes, deletes):
        self.revision += 1
        for key, value, lease in writes:
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {"key": key, "value": value, "revision": self.revision,
                    "created": created, "lease": lease}
            self.items[key] = item
            self.history.append((self.revision, item))
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.history.append(
                    (self.revision, {"key": key, "revision": self.revision, "deleted": True}))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return self.revision

    def put(self, key, text):
        """A write of the operator or of an executor."""
        return self.apply([(key, base64.b64encode(text.encode()).decode(), 0)], [])

    async def handle(self, request):
        path = request.path
        if path == "/buckthornmux/kv-key":
            item = self.items.get(request.query["key"])
            return (200, {**item, "current_rev": self.revision}) if item else (
                404, {"current_rev": self.revision})
        if path == "/buckthornmux/kv-range":
            return 200, self.range(request.query["prefix"], request.query.get("after", ""))
        if path == "/buckthornmux/kv-watch":
            return await self.watch(request.query)
        if path == "/buckthornmux/kv-txn":
            status, value = self.commit(request.json())
            if status == 400:
                self.refused.append((path, value["error"]))
            return status, value
        if path == "/buckthornmux/kv-lease":
            ttl = min(max(request.json()["ttl_ms"], 1000), 600000)
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = [ttl / 1000, time.monotonic() + ttl / 1000]
            return 200, {"lease": lease, "ttl_ms": ttl}
        if path.startswith("/buckthornmux/kv-keep/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if lease is None:
                return 404, {}
            lease[1] = time.monotonic() + lease[0]
            return 200, {"ttl_ms": int(lease[0] * 1000)}
        if path.startswith("/buckthornmux/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            self.end_lease(lease)
            return 200, {}
        if path == "/executor-reports":  # How an executor reports isn't told.
            body = request.json()
            self.put(body["key"], body["value"])
            self.seen[body["key"]] = time.monotonic()
            return 200, {}
        return 404, {}

    def range(self, prefix, after):
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items, size = [], 0
        for key in keys:
            size += len(self.items[key]["value"])
            if items and (len(items) >= PAGE_ITEMS or size > PAGE_BYTES):
                break
            items.append(self.items[key])
        return {"items": items, "has_more": len(items) < len(keys),
                "current_rev": self.revision}

    async def watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            changed = self.changed
            events = [e for r, e in self.history if r > after and e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def commit(self, body):
        conditions = body.get("precondition", [])
        writes = body.get("writes", [])
        deletes = body.get("deletes", [])
        if len(conditions) + len(writes) + len(deletes) > TRANSACTION_ENTRIES:
            return 400, {"error": "too many entries"}
        for write in writes:
            if len(base64.b64decode(write["value"])) > VALUE_BYTES:
                return 400, {"error": "value too long: " + write["key"]}
            if write["key"].startswith(("op/", "servers/")):
                return 403, {}
        current, holds = [], True
        for row in conditions:
            item = self.items.get(row["key"])
            holds = holds and row["revision"] == (item["revision"] if item else 0)
            current.append(item)
        if not holds:
            return 412, {"items": current}
        for write in writes:
            if write.get("lease", 0) and write["lease"] not in self.leases:
                return 404, {}
        rows = [(w["key"], w["value"], w.get("lease", 0)) for w in writes]
        return 200, {"revision": self.apply(rows, deletes)}
