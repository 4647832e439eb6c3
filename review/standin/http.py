"""Minimal HTTP/1.1 server and client for the stand-ins of the review, on asyncio streams."""

import asyncio
import urllib.parse


class Request:
    """A request as the stand-in read it."""

    def __init__(self, method, target, headers, body, writer):
        self.method = method
        self.target = target
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = body
        self.writer = writer


async def read_head(reader):
    """Reads a start line and headers; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """Yields the data of a chunked body; raises if it ends early."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([part async for part in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", 0)))


def head(status, headers):
    lines = [f"HTTP/1.1 {status}"] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def response(status, body=b"", headers=None):
    headers = dict(headers or {})
    headers["Content-Length"] = str(len(body))
    return head(status, headers) + body


async def serve(address, handle):
    """Serves `handle(request)`, which returns the bytes of a response, or None if it wrote the
    response itself and the connection ends."""

    async def connection(reader, writer):
        try:
            while True:
                parsed = await read_head(reader)
                if parsed is None:
                    break
                method, target, _ = parsed[0].split(" ", 2)
                body = await read_body(reader, parsed[1])
                request = Request(method, target, parsed[1], body, writer)
                request.reader = reader
                answer = await handle(request)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            # Consumes the error of a channel that was reset.
            closed = asyncio.ensure_future(writer.wait_closed())
            closed.add_done_callback(lambda done: done.cancelled() or done.exception())

    host, port = address
    return await asyncio.start_server(connection, host, port, limit=1 << 20)


async def get_status(address, path, timeout=1.0):
    """Status of a GET, or None without an answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: {address[0]}\r\n\r\n".encode())
            parsed = await read_head(reader)
            return int(parsed[0].split(" ")[1]) if parsed else None
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError):
        return None
