"""Stand-in for the platform: addresses, settings files, processes, and the store."""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

from . import http

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = "target/release/agateflow-platform"
FRONT, READYZ, CONTROL, APP, PEER, METRICS = 8227, 8220, 8229, 8228, 7340, 9464
ZONE = "zone-a"
DRAIN_MS = 2000
GRACE_S = 8
MEMORY_MB = 260
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000

BOUNDS = f"""
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = {DRAIN_MS}
GraceS = {GRACE_S}
LossSlackMs = 200
ConfigApplyMs = 2000
RevertSlackMs = 250
MaxSkewMs = 5000
StrictRevoke = false
RevokeMs = 5000
RetryRatio = 0.2
RetryWindowS = 10
RetryExtra = 94
RecoverS = 12
PassMs = 120
RetryAfterS = 0
stall_ms = 1500
RequireFence = false
"""


class Network:
    """Loopback addresses of one run, each checked to be free."""

    def __init__(self):
        while True:
            self.prefix = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
            if all(self.is_free(f"{self.prefix}.{host}") for host in range(1, 40)):
                return

    @staticmethod
    def is_free(ip):
        for port in (FRONT, READYZ, CONTROL, APP, PEER, METRICS):
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((ip, port))
                except OSError:
                    return False
        return True

    def ip(self, host):
        return f"{self.prefix}.{host}"


class Record:
    """The record of a run: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        self.file.flush()


class Store:
    """The platform's store: items with revisions, ranges and watches."""

    def __init__(self, record):
        self.record = record
        self.revision = 0
        self.items = {}
        self.events = []
        self.changed = asyncio.Condition()
        self.silenced = None
        self.ranges = []

    async def put(self, key, value):
        """Writes an item; returns once the store has it, which is its ack."""
        async with self.changed:
            self.revision += 1
            data = base64.b64encode(json.dumps(value).encode()).decode()
            created = self.items[key]["Created"] if key in self.items else self.revision
            item = {"Key": key, "Value": data, "Revision": self.revision, "Created": created,
                    "Lease": 0}
            self.items[key] = item
            self.events.append(item)
            self.changed.notify_all()
        self.record(f"the store has {key} at revision {self.revision}")

    async def remove(self, key):
        async with self.changed:
            self.revision += 1
            del self.items[key]
            self.events.append({"Key": key, "Revision": self.revision, "Removed": True})
            self.changed.notify_all()
        self.record(f"the store has removed {key} at revision {self.revision}")

    async def silence_next_watch(self):
        """Lets the channel of the next watch go silent for good; returns once it has."""
        self.silenced = asyncio.get_running_loop().create_future()
        await self.silenced

    async def handle(self, request):
        if request.path == "/agateflow/kv-watch" and self.silenced and not self.silenced.done():
            self.record("the channel to the store goes silent for good; new channels work")
            self.silenced.set_result(None)
            await request.reader.read()
            return None
        answer = await self.answer(request)
        if answer is None:
            return http.response("404 Not Found")
        body = json.dumps(answer).encode()
        return http.response("200 OK", body, {"Content-Type": "application/json"})

    async def answer(self, request):
        if request.path == "/agateflow/kv-key":
            item = self.items.get(request.query["Key"])
            return item and dict(item, CurrentRev=self.revision)
        prefix = request.query.get("Prefix", "")
        after = request.query.get("After", "")
        if request.path == "/agateflow/kv-range":
            keys = [key for key in sorted(self.items) if key.startswith(prefix) and key > after]
            entries = self.page(keys)
            more = len(entries) < len(keys)
            self.ranges.append(after)
            return {"Entries": entries, "MorePages": more, "CurrentRev": self.revision}
        if request.path == "/agateflow/kv-watch":
            return await self.watch(int(request.query["WaitMs"]), prefix, int(after))
        return None

    def page(self, keys):
        """The first items of `keys`, at most about 500 or 1 MB."""
        entries = []
        size = 0
        for key in keys[:PAGE_ITEMS]:
            item = self.items[key]
            size += len(item["Value"])
            if entries and size > PAGE_BYTES:
                break
            entries.append(item)
        return entries

    async def watch(self, wait_ms, prefix, after):
        def found():
            return [event for event in self.events
                    if event["Revision"] > after and event["Key"].startswith(prefix)]

        async def wait():
            async with self.changed:
                await self.changed.wait_for(found)

        try:
            await asyncio.wait_for(wait(), wait_ms / 1000)
        except asyncio.TimeoutError:
            pass
        return {"events": found(), "CurrentRev": self.revision}


class Fleet:
    """Starts and ends the project's programs."""

    def __init__(self, network, record, store_address):
        self.network = network
        self.record = record
        self.store_address = store_address
        self.folder = tempfile.mkdtemp(prefix="agateflow-review-")
        self.seeds = []
        self.processes = {}

    def settings(self, name, host, role, extra, link_mbps):
        ip = self.network.ip(host)
        seeds = ",".join(f'"{seed}:{CONTROL}"' for seed in self.seeds)
        serves = '"edge","ctrl"' if role == "entry" else '"side"'
        edge = role == "entry"
        return f"""NodeName = "{name}"
Role = "{role}"
MachineClass = "{'edge' if edge else 'side'}"
Serves = [{serves}]
Ip = "{ip}"
Zone = "{ZONE}"
Region = "region"
PortRange = [{PEER},{PEER + 15}]
Seeds = [{seeds}]
Bootstrap = true
CountsAsLoss = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","experts"]
{extra}
[Zones]
{ZONE} = "region"
[Listen]
{f'Front = "{ip}:{FRONT}"' if edge else ''}
{f'Readyz = "{ip}:{READYZ}"' if edge else ''}
{f'Control = "{ip}:{CONTROL}"' if edge else ''}
[Limits]
CpuQuota = {0.25 if edge else 0.15}
Cores = 1
MemoryMb = {MEMORY_MB if edge else 128}
MaxFds = {4100 if edge else 2048}
LinkMbps = {link_mbps}
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 1
Regions = 0
{BOUNDS}
[Platform]
Addr = "{self.store_address[0]}:{self.store_address[1]}"
form = "read"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"""

    def start(self, name, host, role, extra="", link_mbps=1000.0):
        path = os.path.join(self.folder, f"{name}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(name, host, role, extra, link_mbps))
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["AGATEFLOW_SETTINGS"] = path
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        self.processes[name] = subprocess.Popen([str(ROOT / PROGRAM)], cwd=ROOT, env=environment,
                                                stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.record(f"start of {name}")

    def signal(self, name, number):
        self.record(f"{signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def is_running(self, name):
        return self.processes[name].poll() is None

    def memory_mb(self, name):
        """Resident memory of a process."""
        with open(f"/proc/{self.processes[name].pid}/statm", encoding="ascii") as file:
            pages = int(file.read().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 2**20

    async def ready(self, host, limit_s=10.0):
        """Waits for the readiness of the entry at `host`."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            if await http.get_status((self.network.ip(host), READYZ), "/agateflow/readyz") == 200:
                return
            await asyncio.sleep(0.1)
        raise TimeoutError("the entry is not ready")

    def end(self):
        """Ends all processes and removes the temporary folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def trouble():
    """Whether the run has its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(case, folder, limit_s=110):
    """Runs `case(record)`, which returns whether the rule held; exits as the issue asks."""
    record = Record(folder)
    record(f"trouble: {'yes' if trouble() else 'no'}")
    try:
        held = asyncio.run(asyncio.wait_for(case(record), limit_s))
    except Exception as error:  # pylint: disable=broad-except
        record(f"the case could not run: {type(error).__name__}: {error}")
        print(f"the case could not run: {type(error).__name__}: {error}")
        raise SystemExit(2) from error
    record("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    raise SystemExit(0 if held else 1)
