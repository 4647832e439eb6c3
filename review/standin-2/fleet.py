"""Small stand-ins for a script case: the platform's store, servers and requesters.

Everything runs in one asyncio process on loopback addresses; the programs under test are started as
separate processes with the command of the deploy file. A stand-in does only what the pages say.
"""

import asyncio
import base64
import json
import os
import random
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
# The command of both roles in deploy/system.toml.
PROGRAM = REPOSITORY / "target/release/agateflow-platform"

FRONT, READYZ, CONTROL, PEER, METRICS, SERVER, STORE = 8227, 8220, 8229, 7340, 9464, 8228, 8223

BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4,
    "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000,
    "RevertSlackMs": 250, "MaxSkewMs": 5000, "StrictRevoke": False, "RevokeMs": 5000,
    "RetryRatio": 0.2, "RetryWindowS": 10, "RetryExtra": 94, "RecoverS": 12, "PassMs": 120,
    "RetryAfterS": 0, "stall_ms": 1500, "RequireFence": False,
}


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


def free_network():
    """A part of the loopback range of this run, on which all ports of the case are free."""
    for _ in range(50):
        prefix = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        try:
            for host in range(1, 24):
                for port in (FRONT, READYZ, CONTROL, PEER, METRICS, SERVER, STORE):
                    with socket.socket() as probe:
                        probe.bind((f"{prefix}.{host}", port))
            return prefix
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


def toml(value):
    return json.dumps(value)


def settings_text(name, ip, zone, seeds, store, serves, listen, extra, regions):
    lines = [
        f"NodeName = {toml(name)}", 'Role = "r"',
        f"MachineClass = {toml('edge' if listen else 'side')}",
        f"Serves = {toml(serves)}", f"Ip = {toml(ip)}", f"Zone = {toml(zone)}", 'Region = "r1"',
        f"PortRange = [{PEER}, {PEER + 15}]", f"Seeds = {toml(seeds)}", "Bootstrap = true",
        "CountsAsLoss = false", 'Discovery = "platform"', 'Entry = "vip"', "HeartbeatMs = 1200",
        'Contracts = ["base","drain","config","cost","retry","recover","engine","stream",'
        '"tenants","platform","experts"]',
    ]
    lines += [f"{key} = {toml(value)}" for key, value in extra.items()]
    lines += ["[Zones]"] + [f'{zone} = "r1"' for zone in regions]
    lines += ["[Listen]"] + [f"{key} = {toml(value)}" for key, value in listen.items()]
    lines += ["[Limits]", "CpuQuota = 0.25", "Cores = 1", "MemoryMb = 260", "MaxFds = 4100",
              "LinkMbps = 1000.0", "DiskMb = 0",
              "[FaultTolerance]", "Machines = 1", "Zones = 1", "Regions = 0", "[Bounds]"]
    lines += [f"{key} = {toml(value)}" for key, value in BOUNDS.items()]
    lines += ["[Platform]", f"Addr = {toml(store)}", 'form = "read"', "WritesPerS = 400",
              "ReadsPerS = 2000", "HistoryS = 20", "ValueBytes = 1048576", "TtlMinMs = 1000"]
    return "\n".join(lines) + "\n"


async def read_head(reader):
    """Reads the head of a message: its first line and its headers, names in lower case."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *rest = text[:-4].split("\r\n")
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader):
    """Yields the chunks of a chunked body; raises if it ends early."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            await reader.readuntil(b"\r\n")
            return
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        yield data


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Store:
    """The platform's store: range reads and watches of one history."""

    def __init__(self, address, record):
        self.address, self.record = address, record
        self.revision, self.items, self.history = 1, {}, []
        self.changed = asyncio.Event()
        self.era = 0
        self.oldest = 0
        self.fault = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def put(self, key, value):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        item = {"Key": key, "Value": base64.b64encode(raw).decode(), "Revision": self.revision,
                "Created": self.revision, "Lease": 0}
        self.items[key] = item
        self.notify(item)

    def value(self, key, without=""):
        """The fields of the item at `key`, but for one."""
        item = self.items.get(key)
        fields = json.loads(base64.b64decode(item["Value"])) if item else {}
        return {name: value for name, value in fields.items() if name != without}

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self.notify({"Key": key, "Revision": self.revision, "Removed": True})

    def notify(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def close_channels(self, ip):
        """Closes the channels to the store's address `ip`."""
        for writer in list(self.writers):
            if writer.get_extra_info("sockname")[0] == ip:
                writer.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                await read_body(reader, headers)
                target = first.split(" ")[1]
                if self.fault:
                    result = await self.fault(target, writer)
                    if result == "handled":
                        continue
                    if result == "close":
                        return
                await asyncio.sleep(0.004)
                status, body = await self.answer(target)
                raw = json.dumps(body).encode()
                head = (f"HTTP/1.1 {status} X\r\nStore-Era: {self.era}\r\n"
                        f"Content-Type: application/json\r\nContent-Length: {len(raw)}\r\n\r\n")
                writer.write(head.encode() + raw)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, target):
        from urllib.parse import parse_qs, urlsplit
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        prefix = query.get("Prefix", "")
        if parts.path.endswith("kv-range"):
            after = query.get("After", "")
            entries = [self.items[k] for k in sorted(self.items) if k.startswith(prefix) and k > after]
            return 200, {"Entries": entries, "MorePages": False, "CurrentRev": self.revision}
        if parts.path.endswith("kv-watch"):
            after, wait = int(query["After"]), int(query["WaitMs"]) / 1000
            if after < self.oldest or after > self.revision:
                return 410, {}
            deadline = time.monotonic() + wait
            while True:
                events = [e for e in self.history if e["Revision"] > after and e["Key"].startswith(prefix)]
                left = deadline - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "CurrentRev": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


class Program:
    """A process of the system, and what it is started with."""

    def __init__(self, fleet, name, ip, text):
        self.fleet, self.name, self.ip = fleet, name, ip
        self.path = fleet.folder / f"{name}.toml"
        self.path.write_text(text)
        self.process = None

    async def start(self, max_fds=None):
        """Starts the process, with the platform's limit of descriptors."""
        def limit():
            resource.setrlimit(resource.RLIMIT_NOFILE, (max_fds, max_fds))

        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["AGATEFLOW_SETTINGS"] = str(self.path)
        self.process = await asyncio.create_subprocess_exec(
            str(PROGRAM), cwd=REPOSITORY, env=environment, stdout=log, stderr=log,
            preexec_fn=limit if max_fds else None)
        self.fleet.record.line(f"start {self.name}")

    def send(self, number):
        self.fleet.record.line(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class Server:
    """A server of a service. `handle(self, request)` decides what it does with a request."""

    def __init__(self, fleet, ident, ip, service, zone, handle, group=None):
        self.fleet, self.ident, self.ip, self.service, self.zone = fleet, ident, ip, service, zone
        self.handle = handle
        self.group = group
        self.born = int(time.time() * 1000)
        self.server = None
        self.writers = set()
        self.seq = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, SERVER)

    def entry(self, state="ready"):
        entry = {"Service": self.service, "Addr": f"{self.ip}:{SERVER}", "Zone": self.zone,
                 "Version": 1, "Slots": 6, "State": state, "ColdLeftMs": 0, "Seq": self.seq,
                 "born": self.born}
        if self.group:
            entry["group"] = self.group
        return entry

    def register(self, state="ready", **other):
        self.fleet.store.put(f"servers/{self.ident}", {**self.entry(state), **other})
        self.fleet.record.line(f"store: {self.ident} {state}")

    async def beat(self, **other):
        """Writes the entry every HeartbeatMs; it changes when more than `Seq` changes."""
        while True:
            await asyncio.sleep(1.2)
            self.seq += 1
            entry = {**self.entry(), **other}
            if self.fleet.store.value(f"servers/{self.ident}", without="Seq") != {
                    name: value for name, value in entry.items() if name != "Seq"}:
                self.fleet.store.put(f"servers/{self.ident}", entry)
                self.fleet.record.line(f"store: {self.ident} writes its entry anew")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                request = Request(self, method, target, headers, reader, writer)
                if await self.handle(self, request) == "close":
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset_all(self):
        for writer in list(self.writers):
            reset(writer)

    async def stop(self):
        self.server.close()
        self.reset_all()


def reset(writer):
    import struct
    try:
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except (OSError, AttributeError):
        pass
    writer.transport.abort()


class Request:
    """A request at a server."""

    def __init__(self, server, method, target, headers, reader, writer):
        self.server, self.method, self.target, self.headers = server, method, target, headers
        self.reader, self.writer = reader, writer
        self.ident = headers.get("x-attempt-id", "")
        server.fleet.record.line(f"{server.ident} gets {method} {target} {self.ident}")

    def expected(self):
        return self.headers.get("x-expect-instance", self.server.ident) == self.server.ident

    async def body(self):
        return await read_body(self.reader, self.headers)

    def runs(self):
        self.server.fleet.ran(self)

    async def answer(self, status, body=b"", extra=(), stamp=True, length=True):
        head = [f"HTTP/1.1 {status} X", f"X-Attempt-Id: {self.ident}",
                f"X-Instance-Id: {self.server.ident}"]
        if stamp:
            head.append(f"X-Server-Stamp: {self.server.ident}.{self.ident}")
        if length:
            head.append(f"Content-Length: {len(body)}")
        head += list(extra)
        self.writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
        await self.writer.drain()

    async def stream(self, events):
        """Answers with a stream of events, 50 ms apart."""
        head = ["HTTP/1.1 200 X", f"X-Attempt-Id: {self.ident}",
                f"X-Instance-Id: {self.server.ident}",
                f"X-Server-Stamp: {self.server.ident}.{self.ident}",
                "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        self.writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for event in events:
            await asyncio.sleep(0.05)
            self.writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await self.writer.drain()
        self.writer.write(b"0\r\n\r\n")
        await self.writer.drain()

    async def not_run(self, status=503, extra=()):
        await self.answer(status, b"", ["X-Not-Executed: 1", *extra], stamp=False)


class Answer:
    def __init__(self, status, headers, body, complete, events=(), error=""):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete
        self.events, self.error = list(events), error

    def __str__(self):
        return f"{self.status or 'none'} complete={self.complete} {len(self.body)}B {self.error}"


class Channel:
    """A requester's connection to an entry, kept for several requests."""

    def __init__(self, fleet, ip):
        self.fleet, self.ip = fleet, ip
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.ip, FRONT, limit=1 << 24), 1)
        return self

    def close(self):
        if self.writer:
            self.writer.close()

    def write(self, method, path, ident, deadline_ms, body=b"", extra=(), host="h.example", key="key1"):
        head = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Attempt-Id: {ident}",
                f"X-Deadline-Ms: {deadline_ms}"]
        if key:
            head.append(f"X-Credential: {key}")
        if (body or method == "POST") and not any("ontent-Length" in line for line in extra):
            head.append(f"Content-Length: {len(body)}")
        head += list(extra)
        self.fleet.record.line(f"requester sends {method} {path} {ident} to {self.ip}")
        self.writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)

    async def read(self, ident, limit_s):
        status, headers, body = None, {}, b""
        try:
            async with asyncio.timeout(limit_s):
                first, headers = await read_head(self.reader)
                status = int(first.split(" ")[1])
                if "chunked" in headers.get("transfer-encoding", ""):
                    async for chunk in read_chunks(self.reader):
                        body += chunk
                else:
                    size = int(headers.get("content-length", 0))
                    while len(body) < size:
                        part = await self.reader.read(size - len(body))
                        if not part:
                            raise asyncio.IncompleteReadError(body, size)
                        body += part
                answer = Answer(status, headers, body, True)
        except TimeoutError:
            answer = Answer(status, headers, body, False, error="no answer in time")
        except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
            answer = Answer(status, headers, body, False, error=type(error).__name__)
        self.fleet.record.line(f"requester gets {ident}: {answer}")
        return answer

    async def ask(self, method, path, ident, deadline_ms=1500, **other):
        self.write(method, path, ident, deadline_ms, **other)
        return await self.read(ident, deadline_ms / 1000 + 1.5)


class Fleet:
    """One run: the store, the servers, the system's processes."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.folder = Path(tempfile.mkdtemp(prefix="agateflow-case-"))
        self.prefix = free_network()
        self.store = Store((self.ip(1), STORE), self.record)
        self.entries, self.servers, self.programs = [], [], []
        self.runs = {}
        self.zones = ["a", "b", "c"]

    def ip(self, host):
        return f"{self.prefix}.{host}"

    def ran(self, request):
        self.record.line(f"{request.server.ident} runs {request.ident}")
        self.runs.setdefault(request.ident, []).append(request.server.ident)

    def entry(self, number, zone="a"):
        ip = self.ip(1 + number)
        seeds = [f"{self.ip(1 + n)}:{CONTROL}" for n in (1, 2, 3)]
        listen = {"Front": f"{ip}:{FRONT}", "Readyz": f"{ip}:{READYZ}", "Control": f"{ip}:{CONTROL}"}
        text = settings_text(f"edge-{number}", ip, zone, seeds, f"{self.ip(1)}:{STORE}",
                             ["edge", "ctrl"], listen, {}, self.zones)
        program = Program(self, f"edge-{number}", ip, text)
        self.entries.append(program)
        self.programs.append(program)
        return program

    def agent(self, number, host, service, zone="a"):
        ip = self.ip(host)
        seeds = [f"{self.ip(1 + n)}:{CONTROL}" for n in (1, 2, 3)]
        text = settings_text(f"side-{number}", ip, zone, seeds, f"{self.ip(1)}:{STORE}", ["side"], {},
                             {"app": f"{ip}:{SERVER}", "Service": service}, self.zones)
        program = Program(self, f"side-{number}", ip, text)
        self.programs.append(program)
        return program

    async def ready(self, program, limit_s=10):
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            try:
                reader, writer = await asyncio.open_connection(program.ip, READYZ)
                writer.write(b"GET /agateflow/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                first, _ = await read_head(reader)
                writer.close()
                if " 200 " in first:
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{program.name} does not become ready")

    async def end(self, keep_logs=False):
        for program in self.programs:
            await program.end()
        for server in self.servers:
            if server.server:
                await server.stop()
        if keep_logs or os.environ.get("KEEP"):
            print("logs in", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def config(version, services=("app",), routes=None, tenants=(("team1", ("key1",)),), limits=None):
    return {
        "Version": version,
        "Routes": routes or [
            route("order", "/order/", "mutating", "app", 1500, 100, attempts=2),
            route("read", "/read/", "idempotent", "app", 1500, 100, attempts=2),
        ],
        "Services": [s if isinstance(s, dict) else {"Name": s, "HealthPath": "/healthz", "MaxConns": 110}
                     for s in services],
        "Tenants": [{"Name": name, "ApiKeys": list(keys)} for name, keys in tenants],
        "Limits": limits or {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4 << 20,
                             "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 15000},
    }


def route(name, prefix, kind, service, timeout_ms, slo_ms, attempts=2, **other):
    return {"Name": name, "Host": "h.example", "Prefix": prefix, "Type": kind, "Service": service,
            "TimeoutMs": timeout_ms, "SloMs": slo_ms, "Attempts": attempts, "Priority": 1, **other}


def main(case, folder):
    """Runs `case(fleet, trouble)`, which returns a list of breaches, and exits as the cases do."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # Channels that are still open at the end are of no interest.
    sys.unraisablehook = lambda _: None

    def stop(*_):
        raise CannotRun("stopped")

    async def run():
        signal.signal(signal.SIGTERM, stop)
        fleet = Fleet(Path(folder) / "record.txt")
        try:
            await fleet.store.start()
            async with asyncio.timeout(110):
                return await case(fleet, trouble), fleet
        finally:
            await fleet.end()

    try:
        breaches, fleet = asyncio.run(run())
    except (CannotRun, OSError, TimeoutError) as error:
        print(f"cannot run: {error!r}")
        sys.exit(2)
    for breach in breaches:
        print(breach)
        fleet.record.line(f"BREACH {breach}")
    if not breaches:
        print("held")
        fleet.record.line("held")
    sys.exit(1 if breaches else 0)
