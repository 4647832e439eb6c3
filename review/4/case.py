"""A planned stop while large answers are on their way to the callers."""

import asyncio
import pathlib
import signal
import socket
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin import http, platform, service  # noqa: E402

ENTRY_HOST, SERVER_HOST, STORE_HOST = 1, 11, 30
CALLERS = 8
SLOTS = 12
# The link of the machine, which the callers share evenly while they read.
LINK_MBPS = 40
ANSWER_BYTES = 4_000_000
READ_BYTES_PER_S = LINK_MBPS * 1_000_000 / 8 / CALLERS
READ_INTERVAL_S = 0.05
RECEIVE_BUFFER_BYTES = 16_384
SEGMENT_BYTES = 1_400
DEADLINE_MS = 8_000
TIMEOUT_MS = 10_000
SIGTERM_AFTER_S = 0.1


async def work(server, request, identity, headers):
    server.record(f"server {server.name} has answered request {identity} with {ANSWER_BYTES} bytes")
    return http.response("200 OK", b"x" * ANSWER_BYTES, headers)


async def read_slowly(sock, limit):
    """Reads up to `limit` bytes at the caller's rate; returns them and how the reading ended."""
    loop = asyncio.get_running_loop()
    data = bytearray()
    started = time.monotonic()
    while len(data) < limit:
        allowed = int((time.monotonic() - started) * READ_BYTES_PER_S) - len(data)
        if allowed <= 0:
            await asyncio.sleep(READ_INTERVAL_S)
            continue
        try:
            part = await loop.sock_recv(sock, min(allowed, limit - len(data)))
        except ConnectionError as error:
            return data, f"reset ({type(error).__name__})"
        if not part:
            return data, "closed"
        data += part
        await asyncio.sleep(0)
    return data, "whole"


async def call(record, address, number):
    """Sends a request and reads its answer; returns whether it came whole in time."""
    identity = f"{number:016x}"
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    await loop.sock_connect(sock, address)
    body = b"order " + identity.encode()
    request = service.request_bytes("POST", "/orders/list", identity, DEADLINE_MS, body)
    await loop.sock_sendall(sock, request)
    sent = time.monotonic()
    record(f"caller {number} sends request {identity}")
    head = bytearray()
    while not head.endswith(b"\r\n\r\n"):
        byte = await loop.sock_recv(sock, 1)
        if not byte:
            record(f"request {identity}: closed without an answer")
            return False
        head += byte
    status, headers = await http.read_head(reader_of(head))
    length = int(headers["content-length"])
    data, end = await read_slowly(sock, length)
    took = time.monotonic() - sent
    sock.close()
    record(f"request {identity}: {status}, {len(data)} of {length} bytes, {end}, "
           f"{took:.2f} s after it was sent")
    if took >= DEADLINE_MS / 1000:
        raise RuntimeError("the answer took longer than the deadline")
    return len(data) == length


def reader_of(data):
    reader = asyncio.StreamReader()
    reader.feed_data(bytes(data))
    reader.feed_eof()
    return reader


async def case(record):
    network = platform.Network()
    store = platform.Store(record)
    store_address = (network.ip(STORE_HOST), 8223)
    fleet = platform.Fleet(network, record, store_address)
    fleet.seeds = [network.ip(ENTRY_HOST)]
    server = service.Server(record, "server-1", (network.ip(SERVER_HOST), 8080), work, SLOTS)
    try:
        await server.start()
        await http.serve(store_address, store.handle)
        route = ("/orders/", "mutating", TIMEOUT_MS, 1, {})
        await store.put("op/config", service.config(7, [route]))
        await store.put(f"servers/{server.name}", server.listing())
        fleet.start("entry-1", ENTRY_HOST, "entry", link_mbps=LINK_MBPS)
        await fleet.ready(ENTRY_HOST)
        await asyncio.sleep(4.0)
        address = (network.ip(ENTRY_HOST), platform.FRONT)
        calls = [asyncio.ensure_future(call(record, address, number + 1))
                 for number in range(CALLERS)]
        await asyncio.sleep(SIGTERM_AFTER_S)
        stopped = time.monotonic()
        if platform.trouble():
            fleet.signal("entry-1", signal.SIGTERM)
            await asyncio.to_thread(fleet.processes["entry-1"].wait, platform.GRACE_S)
            record(f"entry-1 has ended by itself {time.monotonic() - stopped:.2f} s after SIGTERM")
        whole = await asyncio.gather(*calls)
        record(f"whole answers: {sum(whole)} of {CALLERS}")
        return all(whole)
    finally:
        fleet.end()


platform.run(case, FOLDER)
