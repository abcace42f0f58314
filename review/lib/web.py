"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
import json
import urllib.parse


class Request:
    def __init__(self, method, target, headers, body):
        parts = urllib.parse.urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = dict(urllib.parse.parse_qsl(parts.query))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body) if self.body else {}


async def read_message(reader):
    """Returns the first line, the headers and the body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


def response_bytes(status, value):
    body = json.dumps(value, separators=(",", ":")).encode()
    head = (
        f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def serve(ip, port, handler):
    """Serves `handler`, which returns (status, JSON value) for a Request."""

    async def on_connection(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                status, value = await handler(Request(method, target, headers, body))
                writer.write(response_bytes(status, value))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, ip, port, limit=1 << 24)


async def call(address, method, path, headers=None, body=None, timeout=3.0):
    """One request on a connection of its own.

    Returns (status, JSON value), or (None, reason) if no answer came.
    """
    ip, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 24)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1"]
            for name, value in {"Host": address, **(headers or {})}.items():
                lines.append(f"{name}: {value}")
            if data:
                lines.append("Content-Type: application/json")
            lines.append(f"Content-Length: {len(data)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None, "connection ended without an answer"
            status = int(message[0].split(" ", 2)[1])
            try:
                return status, json.loads(message[2]) if message[2] else {}
            except ValueError:
                return status, {}
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return None, "timeout"
    except (OSError, asyncio.IncompleteReadError) as error:
        return None, type(error).__name__
