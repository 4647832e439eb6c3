"""A server leaves the store's list shortly after the entry's channel to the store went silent."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin import http, platform, service  # noqa: E402

ENTRY_HOST, FIRST_SERVER_HOST, STORE_HOST = 1, 11, 30
WORK_S = 0.3
REQUEST_INTERVAL_S = 0.05
DEADLINE_MS = 4_000
TIMEOUT_MS = 4_000
CONTACT_S = 3.0
REMOVED_AFTER_S = 1.2
SERVES_ON_S = 3.4
OBSERVED_AFTER_S = 3.0


async def work(server, request, identity, headers):
    await service.pause(WORK_S)
    return http.response("200 OK", b"confirmed " + identity.encode(), headers)


async def call(record, address, number):
    """Sends a mutating request on a new channel; returns the status, or None without an answer."""
    identity = f"{number:016x}"
    body = b"order " + identity.encode()
    request = service.request_bytes("POST", "/orders/new", identity, DEADLINE_MS, body,
                                    {"Connection": "close"})
    reader, writer = await asyncio.open_connection(*address)
    record(f"request {identity} is sent")
    try:
        writer.write(request)
        parsed = await asyncio.wait_for(http.read_head(reader), DEADLINE_MS / 1000)
        if parsed is None:
            record(f"request {identity}: closed without an answer")
            return None
        await http.read_body(reader, parsed[1])
        status = parsed[0].split(" ")[1]
        record(f"request {identity}: answered {status}")
        return status
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        record(f"request {identity}: no answer ({type(error).__name__})")
        return None
    finally:
        writer.close()


async def send_all(record, address, calls):
    for number in range(1, 100_000):
        calls.append(asyncio.ensure_future(call(record, address, number)))
        await asyncio.sleep(REQUEST_INTERVAL_S)


async def case(record):
    network = platform.Network()
    store = platform.Store(record)
    store_address = (network.ip(STORE_HOST), 8223)
    fleet = platform.Fleet(network, record, store_address)
    fleet.seeds = [network.ip(ENTRY_HOST)]
    servers = [service.Server(record, f"server-{index}",
                              (network.ip(FIRST_SERVER_HOST + index), 8080), work, 12)
               for index in range(3)]
    calls = []
    try:
        await http.serve(store_address, store.handle)
        route = ("/orders/", "mutating", TIMEOUT_MS, 1, {})
        await store.put("op/config", service.config(7, [route]))
        for server in servers:
            await server.start()
            await store.put(f"servers/{server.name}", server.listing())
        fleet.start("entry-1", ENTRY_HOST, "entry")
        await fleet.ready(ENTRY_HOST)
        address = (network.ip(ENTRY_HOST), platform.FRONT)
        sender = asyncio.ensure_future(send_all(record, address, calls))
        await asyncio.sleep(5.0)
        if platform.trouble():
            await store.silence_next_watch()
        in_touch = time.monotonic() + CONTACT_S
        await asyncio.sleep(REMOVED_AFTER_S)
        # The last server leaves without having reported that it drains.
        leaving = servers[-1]
        await store.remove(f"servers/{leaving.name}")
        acked = time.monotonic()
        await asyncio.sleep(SERVES_ON_S)
        at_work = leaving.active
        leaving.end()
        await asyncio.sleep(OBSERVED_AFTER_S)
        sender.cancel()
        results = await asyncio.gather(*calls)
        bound = max(acked + platform.DRAIN_MS / 1000, in_touch)
        late = [at - acked for at, _ in leaving.arrivals if at > bound]
        record(f"requests that reached {leaving.name} later than {platform.DRAIN_MS} ms after the "
               f"ack of its removal, the entry being in touch: {len(late)}"
               + (f", the last {late[-1]:.3f} s after the ack" if late else ""))
        record(f"requests at work there as it exited: {at_work}")
        record(f"answers by status: { {status: results.count(status) for status in set(results)} }")
        return not late
    finally:
        fleet.end()


platform.run(case, FOLDER)
