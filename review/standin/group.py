"""Stand-in for a group of ranks: engines that run all passes together, with orders for expert
maps, holds and switches. Orders may be left unanswered and carried out late."""

import asyncio
import json
import time

from . import http

EPOCH = 1
NAME = "group-1"


class Rank:
    """One rank of the group."""

    def __init__(self, index, name, address, experts):
        self.index = index
        self.name = name
        self.address = address
        self.experts = experts
        self.map = 0
        self.top = 0
        self.prepared = None
        self.copying = None
        self.armed = None
        self.held = None
        self.sequence = 0
        self.counts = None
        self.whole = "map 0"
        self.born = int(time.time() * 1000)


class Group:
    """The group. `is_late(rank, order)` gives the delay of an order that gets no answer, or None."""

    def __init__(self, record, addresses, experts, places, spare, pass_s, copy_s, is_late):
        self.record = record
        self.experts = experts
        self.places = places
        self.spare = spare
        self.pass_s = pass_s
        self.copy_s = copy_s
        self.is_late = is_late
        self.step = 0
        self.streams = []
        self.wake = asyncio.Event()
        self.hot = ()
        self.mixed_passes = []
        self.blocked_since = None
        self.orders = 0
        self.late_orders = 0
        self.on_prepared = None
        self.ranks = []
        size = len(addresses)
        for index, (name, address) in enumerate(addresses):
            own = [[expert for expert in range(experts) if expert % size == index]]
            rank = Rank(index, name, address, own)
            rank.counts = [0] * experts
            self.ranks.append(rank)

    def listing(self, rank, service, zone):
        """The rank's record in the platform's store."""
        return {"Service": service, "Addr": f"{rank.address[0]}:{rank.address[1]}", "Zone": zone,
                "Version": "v1", "Slots": 12, "State": "ready", "ColdLeftMs": 0, "Phase": "mixed",
                "Models": [{"Name": "m", "Version": 1, "Adapters": []}], "Seq": rank.sequence,
                "born": rank.born, "size": len(self.ranks),
                "group": {"Name": NAME, "epoch": EPOCH, "rank": rank.index, "State": "open"}}

    # Passes.

    async def run_passes(self):
        while True:
            if not self.streams:
                self.wake.clear()
                await self.wake.wait()
            following = self.step + 1
            if any(rank.held == following for rank in self.ranks):
                if self.blocked_since is None:
                    self.blocked_since = time.monotonic()
                await asyncio.sleep(0.005)
                continue
            self.blocked_since = None
            self.begin(following)
            await asyncio.sleep(self.pass_s)
            self.end_pass()

    def begin(self, step):
        self.step = step
        for rank in self.ranks:
            if rank.armed and rank.armed[1] == step:
                rank.map = rank.armed[0]
                rank.whole = rank.prepared[1]
                rank.experts = [experts[rank.index] for experts in rank.whole]
                rank.prepared = None
                rank.armed = None
        maps = {(rank.map, json.dumps(rank.whole)) for rank in self.ranks}
        if len(maps) > 1:
            text = ", ".join(f"rank {rank.index}: map {rank.map}" for rank in self.ranks)
            self.record(f"PASS {step} BEGINS WITH DIFFERENT MAPS: {text}")
            self.mixed_passes.append(step)

    def end_pass(self):
        for rank in self.ranks:
            for expert in range(self.experts):
                share = 50_000 if expert in self.hot else 500
                rank.counts[expert] += share
        for stream in list(self.streams):
            stream.advance()

    # Interface.

    def report(self, rank):
        armed = rank.armed and {"Version": rank.armed[0], "step": rank.armed[1]}
        report = {"Phase": "mixed", "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
                  "Busy": rank.copying is not None, "Seq": rank.sequence, "Queued": 0,
                  "Active": len(self.streams), "KvUsed": 0, "KvTotal": 280000, "KvHandles": 0,
                  "pace": 1.0, "born": rank.born, "size": len(self.ranks), "step": self.step,
                  "group": {"Name": NAME, "epoch": EPOCH, "rank": rank.index, "State": "open"},
                  "Map": rank.map}
        if rank.prepared:
            report["Prepared"] = rank.prepared[0]
        if armed:
            report["Armed"] = armed
        if rank.held is not None:
            report["held"] = rank.held
        return report

    async def handle(self, rank, request):
        """Handles a call to a rank; None if it isn't one of the platform's calls."""
        if request.path == "/agateflow/report":
            return self.json(200, self.report(rank))
        if request.path == "/agateflow/picked":
            answer = {"step": self.step, "epoch": EPOCH, "Counts": rank.counts}
            if "Lists" in request.query:
                answer = {"step": self.step, "epoch": EPOCH,
                          "Map": {"Version": rank.map, "Experts": rank.experts}}
            return self.json(200, answer)
        if request.path == "/agateflow/order":
            return await self.take_order(rank, json.loads(request.body), request)
        return None

    @staticmethod
    def json(status, value):
        text = {200: "200 OK", 202: "202 Accepted", 409: "409 Conflict", 400: "400 Bad Request"}
        body = json.dumps(value).encode()
        return http.response(text[status], body, {"Content-Type": "application/json"})

    async def take_order(self, rank, order, request):
        self.orders += 1
        text = " ".join(f"{key} {value}" for key, value in order.items()
                        if key not in ("Map", "epoch"))
        delay = self.is_late(rank, order)
        if delay is None:
            status = self.execute(rank, order)
            self.record(f"order to rank {rank.index}: {text}: answered {status}")
            return self.json(status, {})
        self.late_orders += 1
        self.record(f"order to rank {rank.index}: {text}: no answer, carried out {delay:.1f} s later")
        asyncio.get_running_loop().call_later(delay, self.execute_late, rank, order, text)
        # The channel returns nothing further; the server ends it when its caller does.
        await request.reader.read()
        raise ConnectionError("the caller has closed the channel")

    def execute_late(self, rank, order, text):
        status = self.execute(rank, order)
        self.record(f"late order to rank {rank.index}: {text}: carried out now with {status}")

    def execute(self, rank, order):
        """Carries out an order as the page says; returns the status."""
        operation = order["Op"]
        if order.get("epoch", EPOCH) != EPOCH:
            return 409
        if operation == "prepare":
            return self.prepare(rank, order["Version"], order["Map"])
        if operation == "arm":
            armed = (order["Version"], order["step"])
            if rank.armed == armed:
                return 200
            prepared = rank.prepared and rank.prepared[0] == armed[0]
            if not prepared or armed[1] <= self.step:
                return 409
            rank.armed = armed
            rank.sequence += 1
            return 202
        if operation == "Hold":
            if rank.held == order["step"]:
                return 200
            if rank.held is not None or order["step"] <= self.step:
                return 409
            rank.held = order["step"]
            rank.sequence += 1
            return 202
        if operation == "go":
            if rank.held != order["step"]:
                return 409
            rank.held = None
            rank.sequence += 1
            return 202
        if operation == "disarm":
            if rank.armed and rank.armed[0] == order["Version"]:
                rank.armed = None
            return 409 if rank.map == order["Version"] else 200
        return 400

    def prepare(self, rank, version, whole):
        if rank.prepared and rank.prepared[0] == version:
            return 200
        if rank.copying == version:
            return 202
        own = [experts[rank.index] for experts in whole]
        new = max(len(set(after) - set(before)) for before, after in zip(rank.experts, own))
        complete = all(set().union(*experts) == set(range(self.experts)) for experts in whole)
        fits = all(len(part) <= self.places for experts in whole for part in experts)
        if version <= rank.top or rank.armed or rank.copying or new > self.spare:
            return 409
        if not (complete and fits):
            return 409
        rank.top = version
        rank.copying = version
        rank.sequence += 1
        asyncio.get_running_loop().call_later(self.copy_s * new, self.copied, rank, version, whole)
        return 202

    def copied(self, rank, version, whole):
        rank.copying = None
        rank.prepared = (version, whole)
        if all(other.prepared and other.prepared[0] == version for other in self.ranks):
            self.record(f"all ranks have prepared map {version}, the last pass begun is {self.step}")
            if self.on_prepared:
                self.on_prepared(version)


class Stream:
    """A stream of the group; each pass makes one event."""

    def __init__(self, group):
        self.group = group
        self.events = asyncio.Queue()
        self.made = 0
        self.last = None
        group.streams.append(self)
        group.wake.set()

    def advance(self):
        self.made += 1
        is_last = self.last is not None and self.made >= self.last
        self.events.put_nowait((self.made, is_last))
        if is_last:
            self.group.streams.remove(self)

    def end_now(self):
        """Makes the last event in the present pass."""
        self.last = self.made + 1
