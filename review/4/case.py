"""A rolling restart: a stream that is asked for just after the stopped entry's three seconds."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin import http, platform, service  # noqa: E402

ENTRIES, SERVER_HOST, STORE_HOST = 3, 11, 30
PROBE_INTERVAL_S = 1.0
MISSES = 2
STOP_INTERVAL_S = 1.0
CALLERS = 4
CONNECT_AFTER_S = 2.75
SEND_AFTER_S = 3.2
EVENTS = 26
PAUSE_S = 0.2
DEADLINE_MS = 8_000
TIMEOUT_MS = 8_000


class Balancer:
    """Readiness of the zone's entries, as the platform's ingress sees it."""

    def __init__(self, record, network):
        self.record = record
        self.network = network
        self.misses = {host: 0 for host in range(1, ENTRIES + 1)}

    async def run(self):
        while True:
            await asyncio.gather(*(self.probe(host) for host in self.misses))
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def probe(self, host):
        address = (self.network.ip(host), platform.READYZ)
        status = await http.get_status(address, "/agateflow/readyz", 0.5)
        before = self.misses[host]
        self.misses[host] = 0 if status == 200 else before + 1
        if self.misses[host] == MISSES:
            self.record(f"entry-{host} is out of rotation")

    def takes(self, host):
        """Whether new channels go to that entry."""
        rotation = [host for host, misses in self.misses.items() if misses < MISSES]
        return host in rotation or 2 * len(rotation) < ENTRIES


async def work(server, request, identity, headers):
    headers.update({"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"})
    writer = request.writer
    writer.write(http.head("200 OK", headers))
    for number in range(1, EVENTS + 1):
        event = f"id: {number}\ndata: piece {number}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
        await asyncio.sleep(PAUSE_S)
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    server.record(f"server {server.name}: the run of request {identity} ends")


async def call(record, fleet, balancer, started, number):
    """Opens a channel to entry-1 and sends a stream request; returns whether it ended whole."""
    identity = f"{number:016x}"
    await asyncio.sleep(started + CONNECT_AFTER_S - time.monotonic())
    if not balancer.takes(1):
        raise RuntimeError("the platform forwards no new channel to entry-1")
    reader, writer = await asyncio.open_connection(fleet.network.ip(1), platform.FRONT)
    record(f"caller {number} has a channel to entry-1 {time.monotonic() - started:.3f} s after the "
           "start of the restarts")
    await asyncio.sleep(started + SEND_AFTER_S - time.monotonic())
    body = b"prompt " + identity.encode()
    writer.write(service.request_bytes("POST", "/chat/x", identity, DEADLINE_MS, body))
    sent = time.monotonic()
    record(f"request {identity} is sent {sent - started:.3f} s after the start of the restarts")
    pieces = 0
    try:
        parsed = await http.read_head(reader)
        if parsed is None:
            record(f"request {identity}: closed without having been read")
            return None
        if not parsed[0].split(" ")[1].startswith("2"):
            record(f"request {identity}: answered {parsed[0]}")
            return None
        async for part in http.read_chunks(reader):
            pieces += part.count(b"data:")
        record(f"request {identity}: whole, {pieces} pieces")
        return True
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        record(f"request {identity}: the channel ends after {pieces} of {EVENTS} pieces, "
               f"{time.monotonic() - sent:.2f} s after it was sent ({type(error).__name__})")
        return False
    finally:
        writer.close()


async def case(record):
    network = platform.Network()
    store = platform.Store(record)
    store_address = (network.ip(STORE_HOST), 8223)
    fleet = platform.Fleet(network, record, store_address)
    fleet.seeds = [network.ip(host) for host in range(1, ENTRIES + 1)]
    server = service.Server(record, "server-1", (network.ip(SERVER_HOST), 8080), work, 12)
    try:
        await server.start()
        await http.serve(store_address, store.handle)
        route = ("/chat/", "streaming", TIMEOUT_MS, 2, {"Resumable": True, "GapSloMs": 250})
        await store.put("op/config", service.config(7, [route]))
        await store.put(f"servers/{server.name}", server.listing())
        for host in range(1, ENTRIES + 1):
            fleet.start(f"entry-{host}", host, "entry")
        for host in range(1, ENTRIES + 1):
            await fleet.ready(host)
        balancer = Balancer(record, network)
        probes = asyncio.ensure_future(balancer.run())
        await asyncio.sleep(4.0)
        started = time.monotonic()
        calls = [asyncio.ensure_future(call(record, fleet, balancer, started, number + 1))
                 for number in range(CALLERS)]
        if platform.trouble():
            for host in range(1, ENTRIES + 1):
                fleet.signal(f"entry-{host}", signal.SIGTERM)
                await asyncio.sleep(STOP_INTERVAL_S)
            await asyncio.to_thread(fleet.processes["entry-1"].wait, platform.GRACE_S)
            record(f"entry-1 has ended by itself {time.monotonic() - started:.2f} s after SIGTERM")
        results = await asyncio.gather(*calls)
        probes.cancel()
        record(f"cut: {results.count(False)}, whole: {results.count(True)}, "
               f"not taken: {results.count(None)} of {CALLERS}")
        return False not in results
    finally:
        fleet.end()


platform.run(case, FOLDER)
