"""Stand-in for the servers of a plain service, and the configuration of a small deployment."""

import asyncio
import time

from . import http, platform

HOST = "shop.example"
SERVICE = "orders"
KEY = "key-of-team-a"


def config(version, routes):
    """A configuration with `routes`, each (prefix, type, timeout in ms, attempts, other fields)."""
    listed = [dict({"Name": f"r-{index}", "Host": HOST, "Prefix": prefix, "Type": kind,
                    "TimeoutMs": timeout, "SloMs": 500, "Priority": 1, "Service": SERVICE,
                    "Attempts": attempts, "Public": False}, **more)
              for index, (prefix, kind, timeout, attempts, more) in enumerate(routes)]
    return {"Version": version, "Routes": listed,
            "Services": [{"Name": SERVICE, "HealthPath": "/healthz", "MaxConns": 110,
                          "Protocol": "h1", "Tls": False}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000},
            "Tenants": [{"Name": "team-a", "ApiKeys": [KEY], "Priority": 1}]}


class Server:
    """A sound server of the service; `work(server, request)` gives a response's body."""

    def __init__(self, record, name, address, work, slots=6):
        self.record = record
        self.name = name
        self.address = address
        self.work = work
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.arrivals = []
        self.listener = None
        self.writers = set()
        self.active = 0

    def listing(self, state="ready"):
        """Its record in the platform's store."""
        return {"Service": SERVICE, "Addr": f"{self.address[0]}:{self.address[1]}",
                "Zone": platform.ZONE, "Version": "v1", "Slots": self.slots, "State": state,
                "ColdLeftMs": 0, "Seq": 0, "born": self.born}

    async def start(self):
        self.listener = await http.serve(self.address, self.handle)

    def end(self):
        """Ends the server: no new channels, and the open ones are closed."""
        self.record(f"server {self.name} exits with {self.active} requests at work")
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def handle(self, request):
        self.writers.add(request.writer)
        if request.path == "/healthz":
            return http.response("200 OK", b"", {"X-Instance-Id": self.name})
        if request.headers.get("x-expect-instance", self.name) != self.name:
            return http.response("421 Misdirected Request", b"", {"X-Instance-Id": self.name})
        identity = request.headers["x-attempt-id"]
        self.arrivals.append((time.monotonic(), identity))
        self.record(f"server {self.name} runs request {identity}")
        headers = {"X-Attempt-Id": identity, "X-Server-Stamp": f"{self.name}.{identity}"}
        self.active += 1
        try:
            return await self.work(self, request, identity, headers)
        finally:
            self.active -= 1


def request_bytes(method, path, identity, deadline_ms, body=b"", more=None):
    headers = {"Host": HOST, "X-Attempt-Id": identity, "X-Deadline-Ms": str(deadline_ms),
               "X-Credential": KEY}
    headers.update(more or {})
    if body:
        headers["Content-Length"] = str(len(body))
    lines = [f"{name}: {value}" for name, value in headers.items()]
    return (f"{method} {path} HTTP/1.1\r\n" + "\r\n".join(lines) + "\r\n\r\n").encode() + body


async def pause(seconds):
    await asyncio.sleep(seconds)
