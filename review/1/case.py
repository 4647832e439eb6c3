"""A hold that is carried out late, after the agent of rank 0 was restarted: rank 0 alone is armed
for another pass."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin import group, http, platform  # noqa: E402

RANKS = 4
EXPERTS = 8
PLACES = 4
SPARE = 2
PASS_S = 0.08
COPY_S = 0.1
SERVICE = "llm"
HOST = "models.example"
KEY = "key-of-team-a"
ENTRY_HOST = 1
FIRST_RANK_HOST = 11
STORE_HOST = 30
LATE_HOLD_S = 9.0
LATE_ARM_S = 2.5
LATE_ARMS = 2
STOP_AFTER_S = 0.05
RESTART_AFTER_S = 0.5

CONFIG = {
    "Version": 7,
    "Routes": [{"Name": "chat", "Host": HOST, "Prefix": "/chat/", "Type": "streaming",
                "TimeoutMs": 8000, "SloMs": 500, "Priority": 1, "Service": SERVICE, "Attempts": 2,
                "Public": False, "Sticky": True, "Resumable": True, "GapSloMs": 120}],
    "Services": [{"Name": SERVICE, "HealthPath": "/healthz", "MaxConns": 258, "Protocol": "h1",
                  "Tls": False,
                  "Engine": {"Slots": 12, "KvCapTokens": 280000, "KvTokenBytes": 35136,
                             "LinkMbps": 200000.0, "Stride": 4, "Models": [{"Name": "m"}],
                             "step_ms": 4.55, "per_seq_ms": 0.905, "context_per_k": 0.0183,
                             "read_per_s": 61400.0, "pairs_per_m": 0.525, "chunk": 512,
                             "report_lag_ms": 200.0, "usual": {"prompt": 835, "answer": 97},
                             "Sets": 1, "Experts": EXPERTS, "Placements": PLACES, "Spare": SPARE,
                             "ExpertMb": 2500.0, "ExpertShare": 0.85, "form_ms": 600.0}}],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
               "IdleTimeoutMs": 15000},
    "Tenants": [{"Name": "team-a", "ApiKeys": [KEY], "Priority": 1}],
}


class Case:
    def __init__(self, record):
        self.record = record
        self.trouble = platform.trouble()
        network = platform.Network()
        self.network = network
        self.store = platform.Store(record)
        self.store_address = (network.ip(STORE_HOST), 8223)
        self.fleet = platform.Fleet(network, record, self.store_address)
        self.fleet.seeds = [network.ip(ENTRY_HOST)]
        addresses = [(f"rank-{index}", (network.ip(FIRST_RANK_HOST + index), platform.APP))
                     for index in range(RANKS)]
        self.group = group.Group(record, addresses, EXPERTS, PLACES, SPARE, PASS_S, COPY_S,
                                 self.delay)
        self.late_arms = 0
        self.holds_late = self.trouble
        self.second_version = None
        self.first_hold = asyncio.Event()
        self.answered = 0

    def delay(self, rank, order):
        """Which orders get no answer and are carried out late: two arm orders of the first
        change, and the hold orders of the second one until the agent is stopped."""
        if not self.trouble:
            return None
        if order["Op"] == "arm" and rank.index == 2 and self.late_arms < LATE_ARMS:
            self.late_arms += 1
            return LATE_ARM_S
        if order["Op"] == "Hold" and self.second_version and self.holds_late:
            self.first_hold.set()
            return LATE_HOLD_S
        return None

    async def engine(self, rank, request):
        answer = await self.group.handle(rank, request)
        if answer is not None:
            return answer
        if request.path == "/healthz":
            return http.response("200 OK", b"", {"X-Instance-Id": rank.name})
        if request.headers.get("x-expect-instance", rank.name) != rank.name:
            return http.response("421 Misdirected Request", b"", {"X-Instance-Id": rank.name})
        identity = request.headers["x-attempt-id"]
        self.record(f"rank {rank.index} runs request {identity}")
        stream = group.Stream(self.group)
        headers = {"X-Attempt-Id": identity, "X-Server-Stamp": f"{rank.name}.{identity}",
                   "X-Weight-Versions": "1", "Content-Type": "text/event-stream",
                   "Transfer-Encoding": "chunked"}
        request.writer.write(http.head("200 OK", headers))
        closed = asyncio.ensure_future(request.reader.read())
        try:
            while True:
                following = asyncio.ensure_future(stream.events.get())
                await asyncio.wait([following, closed], return_when=asyncio.FIRST_COMPLETED)
                if not following.done():
                    following.cancel()
                    self.record(f"request {identity} is dropped: its channel has closed")
                    return None
                number, is_last = following.result()
                event = f"id: {number}\ndata: piece {number}\n\n".encode()
                request.writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                if is_last:
                    request.writer.write(b"0\r\n\r\n")
                await request.writer.drain()
                if is_last:
                    self.record(f"the run of request {identity} ends")
                    return None
        finally:
            closed.cancel()
            if stream in self.group.streams:
                self.group.streams.remove(stream)

    async def call(self, identity):
        """Sends a stream request through the entry and reads its answer."""
        address = (self.network.ip(ENTRY_HOST), platform.FRONT)
        reader, writer = await asyncio.open_connection(*address)
        body = b"prompt " + identity.encode()
        headers = {"Host": HOST, "X-Attempt-Id": identity, "X-Model": "m", "X-Token-Count": "700,97",
                   "X-Prompt-Prefix": f"5c1e07a2:40,{identity}:660", "X-Deadline-Ms": "8000",
                   "X-Credential": KEY, "Content-Length": str(len(body))}
        lines = [f"{name}: {value}" for name, value in headers.items()]
        writer.write(("POST /chat/x HTTP/1.1\r\n" + "\r\n".join(lines) + "\r\n\r\n").encode() + body)
        self.record(f"the caller sends request {identity}")
        try:
            parsed = await http.read_head(reader)
            status = parsed[0] if parsed else "closed"
            pieces = 0
            if parsed and parsed[1].get("transfer-encoding") == "chunked":
                async for part in http.read_chunks(reader):
                    pieces += part.count(b"data:")
            self.record(f"request {identity}: {status}, whole, {pieces} pieces")
            self.answered += 1
        except (asyncio.IncompleteReadError, ConnectionError):
            self.record(f"request {identity}: the answer breaks off")
        finally:
            writer.close()

    def maps(self):
        return {rank.map for rank in self.group.ranks}

    async def until(self, what, condition, limit_s):
        deadline = asyncio.get_running_loop().time() + limit_s
        while not condition():
            if asyncio.get_running_loop().time() > deadline:
                raise TimeoutError(f"not seen in {limit_s} s: {what}")
            await asyncio.sleep(0.005)
        self.record(f"seen: {what}")

    def shift(self, hot):
        self.group.hot = tuple(hot)
        self.record(f"experts in demand: {self.group.hot}")

    def shift_to_one_rank(self):
        """Two experts come into demand that one rank holds alone."""
        holders = {}
        for rank in self.group.ranks:
            for expert in rank.experts[0]:
                holders.setdefault(expert, []).append(rank.index)
        for rank in self.group.ranks:
            alone = [expert for expert in rank.experts[0]
                     if holders[expert] == [rank.index] and expert not in self.group.hot]
            if len(alone) >= 2:
                self.shift(alone[:2])
                return
        raise RuntimeError("no rank holds two experts alone")

    async def start(self):
        for rank in self.group.ranks:
            await http.serve(rank.address, lambda request, rank=rank: self.engine(rank, request))
        await http.serve(self.store_address, self.store.handle)
        await self.store.put("op/config", CONFIG)
        for rank in self.group.ranks:
            listing = self.group.listing(rank, SERVICE, platform.ZONE)
            await self.store.put(f"servers/{rank.name}", listing)
        asyncio.ensure_future(self.group.run_passes())
        self.fleet.start("entry-1", ENTRY_HOST, "entry")
        for index in range(RANKS):
            self.start_agent(index)
        await self.fleet.ready(ENTRY_HOST)
        await asyncio.sleep(4.0)

    def start_agent(self, index):
        address = self.group.ranks[index].address
        extra = f'app = "{address[0]}:{address[1]}"\nService = "{SERVICE}"'
        self.fleet.start(f"agent-{index}", FIRST_RANK_HOST + index, "upstream", extra)

    async def play(self):
        await self.start()
        # The first change of the map, under load.
        self.shift([0, RANKS])
        first = asyncio.ensure_future(self.call("0000000000000001"))
        await self.until("the first map in use", lambda: self.maps() not in ({0},), 10)
        # Demand shifts; the load ends as all ranks have prepared the second map.
        self.shift_to_one_rank()
        self.group.on_prepared = self.end_load
        await self.until("the second map prepared", lambda: self.second_version, 10)
        await first
        if self.trouble:
            await asyncio.wait_for(self.first_hold.wait(), 5)
            await asyncio.sleep(STOP_AFTER_S)
            self.fleet.signal("agent-0", signal.SIGTERM)
            await asyncio.to_thread(self.fleet.processes["agent-0"].wait, platform.GRACE_S)
            self.holds_late = False
            await asyncio.sleep(RESTART_AFTER_S)
            self.start_agent(0)
        await asyncio.sleep(LATE_HOLD_S + 1.0)
        self.record("state of the ranks: " + ", ".join(
            f"rank {rank.index}: map {rank.map}, armed {rank.armed}, held {rank.held}"
            for rank in self.group.ranks))
        # Load comes back.
        second = asyncio.ensure_future(self.call("0000000000000002"))
        await asyncio.sleep(3.0)
        for stream in self.group.streams:
            stream.end_now()
        await asyncio.wait([second], timeout=9)
        self.record(f"orders: {self.group.orders}, of them late: {self.group.late_orders}")
        self.record(f"passes with different maps: {self.group.mixed_passes}; answers: {self.answered} of 2")
        return not self.group.mixed_passes

    def end_load(self, version):
        if self.second_version is None:
            self.second_version = version
        for stream in self.group.streams:
            stream.end_now()


async def case(record):
    play = Case(record)
    try:
        return await play.play()
    finally:
        play.fleet.end()


platform.run(case, FOLDER)
