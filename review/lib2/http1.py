"""HTTP/1.1 as far as the stand-ins need it: JSON bodies, open connections."""
import asyncio
import json

REASONS = {200: "OK", 401: "Unauthorized", 403: "Forbidden", 404: "Not Found",
           409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable"}


async def read_message(reader):
    """Returns the first line, the headers in lower case and the body."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


async def serve(address, handle):
    """Serves `handle(method, target, headers, body) -> (status, JSON value)`;
    the status None closes the connection without an answer."""
    async def connection(reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                status, value = await handle(method, target, headers, body)
                if status is None:
                    break
                text = json.dumps(value).encode()
                writer.write((f"HTTP/1.1 {status} {REASONS.get(status, '')}\r\n"
                              "Content-Type: application/json\r\n"
                              f"Content-Length: {len(text)}\r\n\r\n").encode()
                             + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError,
                ConnectionError, OSError):
            pass
        finally:
            writer.close()
    ip, port = address.rsplit(":", 1)
    return await asyncio.start_server(connection, ip, int(port), backlog=256)


async def call(address, method, target, headers, value, timeout):
    """Makes one call on a connection of its own.

    Returns (status, JSON value); the status is None if there was no answer."""
    ip, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, int(port))
            body = b"" if value is None else json.dumps(value).encode()
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {text}" for name, text in headers.items()]
            lines += ["Content-Type: application/json",
                      f"Content-Length: {len(body)}", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            first, _, answer = await read_message(reader)
            return int(first.split(" ")[1]), json.loads(answer or b"{}")
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError,
            OSError):
        return None, None
    finally:
        if writer is not None:
            writer.close()
