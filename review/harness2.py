"""Stand-ins of the platform and its servers, and a runner of entry hosts.

Everything runs on loopback addresses and the real clock. The store, the
servers and the clients run in this process; each entry host is a process of
its own, started with the command of the deploy file.
"""

import asyncio
import copy
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse
import uuid
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PAGE_ITEMS = 50
STORE_SECONDS = 0.004
"""How long the store takes for an answer."""
CONTROL_PATHS = ("/grant", "/release")
ORDER_FIELDS = ("from", "to", "fence", "holdMs")

BOUNDS = {
    "seedLagS": 3, "reuseDelayS": 2, "stableWindowMs": 3000, "ackMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000,
    "retryBudgetRatio": 0.2, "retryWindowS": 10, "retrySlack": 64,
    "recoveryS": 15, "holdMaxMs": 10000, "thawMs": 300,
}


class Record:
    """Writes what was sent, answered and run, one line of JSON each."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began_at = time.monotonic()

    @property
    def seconds(self):
        return time.monotonic() - self._began_at

    def write(self, event, **fields):
        line = {"at": round(self.seconds, 4), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()

    def close(self):
        self._file.close()


def reset(writer):
    """Reset a connection."""
    sock = writer.transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_message(reader):
    """Read an HTTP message: its first line, headers and body.

    A response without a length is not understood.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


def encode_response(status, headers, body):
    reasons = {200: "OK", 409: "Conflict", 404: "Not Found", 410: "Gone"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """The platform's store of objects, with conditions, watches and eras."""

    def __init__(self, record):
        self._record = record
        self.kinds = {}
        self.revision = 100
        self.era = 1
        self.answer_seconds = STORE_SECONDS
        self.is_down = False
        """Whether every call is answered by a reset."""
        self.on_write = None
        """Called with the connection and the kind of each write that comes."""
        self._events = []
        self._lost_before = 100
        self._changed = asyncio.Event()
        self.writers = set()
        """The open connections."""
        self.busy = set()
        """Those with a call in progress."""
        self.addresses = {}
        """The address of the store that each connection was made to."""
        self.address = ""

    async def start(self):
        self.address = await self.open_address()

    async def open_address(self):
        """Listen on an address of its own for one host, and return it."""
        async def serve(reader, writer):
            self.addresses[writer] = address
            await self._serve(reader, writer)
            del self.addresses[writer]

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        return address

    def put(self, kind, name, spec, silently=False):
        """Write an object as the operator or a server does."""
        objects = self.kinds.setdefault(kind, {})
        known = objects.get(name)
        if known is not None and (silently or known["spec"] == spec):
            known["spec"] = spec
            return known["metadata"]["revision"]
        self.revision += 1
        metadata = {"name": name, "revision": self.revision,
                    "created": self.revision, "finalizers": [],
                    "deletionPending": False}
        if known is not None:
            metadata["created"] = known["metadata"]["created"]
        objects[name] = {"metadata": metadata, "spec": spec, "status": None}
        self._note(kind, objects[name], False)
        return self.revision

    def delete(self, kind, name):
        found = self.kinds.get(kind, {}).pop(name, None)
        if found is not None:
            self.revision += 1
            self._note(kind, found, True)

    def _note(self, kind, item, removed):
        self._events.append((self.revision, kind, copy.deepcopy(item), removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, _, body = await read_message(reader)
                method, target, _ = first.split(" ")
                self.busy.add(writer)
                if self.is_down:
                    reset(writer)
                    return
                if self.on_write is not None and method != "GET":
                    self.on_write(writer, target)
                status, answer = await self._answer(method, target, body)
                if writer.transport.is_closing():
                    return
                if self.is_down:
                    reset(writer)
                    return
                headers = [("Content-Type", "application/json"),
                           ("Store-Era", self.era)]
                writer.write(encode_response(status, headers, json.dumps(answer).encode()))
                self.busy.discard(writer)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            self.busy.discard(writer)
            writer.close()

    async def _answer(self, method, target, body):
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        parts = [urllib.parse.unquote(part) for part in path.split("/")[2:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if "watch" not in query:
            await asyncio.sleep(self.answer_seconds)
        if self.is_down:
            return 503, {}
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and name is not None:
            return (200, objects[name]) if name in objects else (404, {})
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["waitMs"]))
        if method == "GET":
            names = [name for name in sorted(objects) if name > query.get("after", "")]
            items = [objects[name] for name in names[:PAGE_ITEMS]]
            return 200, {"items": items, "hasMore": len(names) > PAGE_ITEMS,
                         "asOf": self.revision}
        document = json.loads(body)
        condition = document["metadata"].get("revision")
        name = name or document["metadata"]["name"]
        known = objects.get(name)
        if method == "POST" and known is not None:
            return 409, known
        if method == "PUT" and known is None:
            return 404, {}
        if method == "PUT" and condition not in (None, known["metadata"]["revision"]):
            return 409, known
        self.put(kind, name, document["spec"])
        self._record.write("store-write", kind=kind, name=name,
                           revision=self.revision, era=self.era)
        return 200, objects[name]

    async def _watch(self, kind, since, wait_ms):
        deadline = time.monotonic() + wait_ms / 1000
        era = self.era
        while True:
            if self.era != era or since < self._lost_before or since > self.revision:
                return 410, {}
            events = [{"removed": removed, "object": item}
                      for revision, of_kind, item, removed in self._events
                      if revision > since and of_kind == kind]
            left = deadline - time.monotonic()
            if events or left <= 0:
                await asyncio.sleep(self.answer_seconds)
                return 200, {"events": events, "asOf": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Server:
    """A server (instance) of one service."""

    def __init__(self, store, record, service, zone, *, name=None, ip="127.0.0.1",
                 port=0, work_seconds=0.02, beat_ms=870, capacity=3, sharded=False):
        self.store, self._record = store, record
        self.service, self.zone = service, zone
        self.name = name or "i-" + uuid.uuid4().hex[:8]
        self.ip, self.port = ip, port
        self.work_seconds, self.beat_ms = work_seconds, beat_ms
        self.capacity, self.sharded = capacity, sharded
        self.state = "ready"
        self.born = 0
        self.is_running = False
        self.idle_seconds = 10
        self.on_order = None
        """Called with this server, the path, the order and the status."""
        self.grants = []
        """The granted ranges: first key, last key, token and their end."""
        self.fences = []
        """The highest tokens seen: first key, last key and token."""
        self._sequence = 0
        self._writers = set()
        self._server = None
        self._beat = None

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        """Begin a new life, in which nothing of before is known."""
        self.born = time.time_ns() // 1_000_000
        self.grants, self.fences, self._sequence = [], [], 0
        self.state, self.is_running = "ready", True
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._record.write("server-started", server=self.name, born=self.born,
                           service=self.service, address=self.address, zone=self.zone)
        self._beat = asyncio.create_task(self._write_beats())

    def stop(self, has_left):
        """End this life; a server that leaves is taken off the list."""
        self.is_running = False
        self._beat.cancel()
        self._server.close()
        for writer in tuple(self._writers):
            reset(writer)
        if has_left and not self.store.is_down:
            self.store.delete("servers", self.name)
        self._record.write("server-ended", server=self.name, born=self.born)

    def drain(self):
        self.state = "draining"
        self._record.write("server-drains", server=self.name)
        self.write_entry()

    def write_entry(self):
        if self.store.is_down:
            return
        self._sequence += 1
        spec = {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "capacity": self.capacity, "state": self.state,
                "warmupLeftMs": 0, "sequence": self._sequence, "born": self.born}
        known = self.store.kinds.get("servers", {}).get(self.name)
        self.store.put("servers", self.name, spec, silently=known is not None and
                       {**known["spec"], "sequence": 0} == {**spec, "sequence": 0})

    async def _write_beats(self):
        while True:
            self.write_entry()
            await asyncio.sleep(self.beat_ms / 1000)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                message = asyncio.wait_for(read_message(reader), self.idle_seconds)
                first, headers, body = await message
                method, path, _ = first.split(" ")
                status, extra, content = await self._answer(method, path, headers, body)
                fields = [("Keep-Alive", f"timeout={self.idle_seconds}"), *extra]
                if "balsamway-request-id" in headers:
                    fields.append(("Balsamway-Request-Id", headers["balsamway-request-id"]))
                writer.write(encode_response(status, fields, content))
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.TimeoutError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, method, path, headers, body):
        expected = headers.get("balsamway-target-instance", self.name)
        if expected != self.name:
            return 421, [("Balsamway-Instance-Id", self.name)], b""
        if path in CONTROL_PATHS:
            order = json.loads(body)
            answer = self._control(path, order)
            self._record.write(
                "order", server=self.name, born=self.born, path=path, status=answer[0],
                **{name: order[name] for name in ORDER_FIELDS if name in order})
            if self.on_order is not None:
                self.on_order(self, path, order, answer[0])
            return answer
        if path == "/health":
            return 200, [("Balsamway-Instance-Id", self.name)], b""
        request_id = headers.get("balsamway-request-id")
        if self.sharded and not self._holds(int(headers["balsamway-shard-key"])):
            return 421, [("Balsamway-Not-Executed", "1")], b""
        self._record.write("run", server=self.name, born=self.born, request=request_id)
        await asyncio.sleep(self.work_seconds)
        mac = ("Balsamway-Response-Signature", f"{request_id}.{self.name}")
        return 200, [mac], f"{request_id} by {self.name}".encode()

    def _holds(self, key):
        now = time.monotonic()
        return any(first <= key <= last and now < end for first, last, _, end in self.grants)

    def _control(self, path, order):
        first, last, fence = order["from"], order["to"], order["fence"]
        overlaps = [known for known in self.fences if known[0] <= last and first <= known[1]]
        if path == "/release":
            self.fences.append((first, last, fence))
            self.grants = [part for known in self.grants for part in _without(known, first, last)]
            return 200, [("Balsamway-Handover", uuid.uuid4().hex[:16])], b""
        if any(known[2] > fence for known in overlaps):
            return 409, [], b""
        self.fences.append((first, last, fence))
        self.grants = [part for known in self.grants for part in _without(known, first, last)]
        self.grants.append((first, last, fence, time.monotonic() + order["holdMs"] / 1000))
        return 200, [], b""


def _without(grant, first, last):
    begin, end, token, until = grant
    if begin < first:
        yield begin, min(end, first - 1), token, until
    if last < end:
        yield max(begin, last + 1), end, token, until


class Host:
    """An entry host: its settings, and its process."""

    def __init__(self, name, zone, store, zones, folder, record, *, beat_ms=870,
                 seeds=(), memory_mb=300, store_address=None):
        self.name, self.zone, self._record = name, zone, record
        self.ip = _free_ip()
        self.ports = {name: _free_port(self.ip) for name in ("front", "ready", "control")}
        first = _free_port(self.ip)
        self.internal = (first, first + 15)
        self.front = (self.ip, self.ports["front"])
        self.control = f"{self.ip}:{self.ports['control']}"
        self.store, self.zones, self.beat_ms, self.seeds = store, zones, beat_ms, seeds
        self.memory_mb = memory_mb
        self.store_address = store_address or store.address
        self._folder = Path(folder)
        self._settings = self._folder / f"{name}.toml"
        self.log_path = self._folder / f"{name}.log"
        self.process = None
        self._changes = 0

    async def start(self):
        if not self._settings.exists():
            self._settings.write_text(self._settings_text(), encoding="utf-8")
        run = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]["run"]
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["BALSAMWAY_NODE_FILE"] = str(self._settings)
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *run.split(), cwd=ROOT, env=environment, stdout=log, stderr=log)
        self._record.write("host-started", host=self.name, pid=self.process.pid)

    def change_settings(self):
        """Write the settings anew, with another field that is not known."""
        self._changes += 1
        text = f"changes = {self._changes}\n" + self._settings_text()
        self._settings.write_text(text, encoding="utf-8")

    @property
    def is_alive(self):
        return self.process is not None and self.process.returncode is None

    @property
    def processor_seconds(self):
        """The processor time of the process so far."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    async def readiness(self, seconds=1.0):
        """Return the status of the readiness path, None without an answer."""
        try:
            async with asyncio.timeout(seconds):
                reader, writer = await asyncio.open_connection(self.ip, self.ports["ready"])
                try:
                    writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                    first, _, _ = await read_message(reader)
                    return int(first.split(" ")[1])
                finally:
                    writer.close()
        except (OSError, asyncio.IncompleteReadError):
            return None

    async def wait_ready(self, seconds=20.0):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if await self.readiness() == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    def signal(self, number):
        self._record.write("signal", host=self.name, number=int(number))
        self.process.send_signal(number)

    async def end(self):
        if self.is_alive:
            self.process.kill()
            await self.process.wait()

    def events(self):
        """Return the lines of the process's log."""
        lines = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                lines.append({"event": line})
        return lines

    def _settings_text(self):
        zones = "\n".join(f'{zone} = "region"' for zone in self.zones)
        bounds = "\n".join(f"{name} = {value}" for name, value in BOUNDS.items())
        return f"""grants = "call"
[self]
node = "{self.name}"
role = "gateway"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "region"
faultCounted = false
bootstrap = true
[self.limits]
cpuShare = 0.86
cpuCores = 1
memoryMb = {self.memory_mb}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[network]
internalPorts = [{self.internal[0]},{self.internal[1]}]
seeds = {json.dumps(list(self.seeds))}
[network.listen]
front = "{self.ip}:{self.ports['front']}"
readyAddress = "{self.ip}:{self.ports['ready']}"
control = "{self.control}"
[network.zones]
{zones}
[platform]
discovery = "platform"
entry = "vip"
heartbeatMs = {self.beat_ms}
[platform.platform]
address = "{self.store_address}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
[terms]
contracts = ["base","drain","config","cost","retry","recover","own","platform"]
[terms.faultTolerance]
machines = 1
zones = 1
regions = 0
[terms.bounds]
{bounds}
"""


def _free_ip():
    """Return a loopback address on which the fixed metrics port is free."""
    while True:
        ip = f"127.{random.randint(1, 254)}.{random.randint(1, 254)}.{random.randint(2, 254)}"
        with socket.socket() as sock:
            try:
                sock.bind((ip, 9464))
            except OSError:
                continue
        return ip


def _free_port(ip):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Client:
    """Sends requests, one at a time on a kept connection."""

    def __init__(self, host, record):
        self._host, self._record = host, record
        self._connection = None

    async def request(self, method, host_name, path, deadline_ms, *, key=None,
                      body=b"", request_id=None):
        """Send one request and return its result.

        Returns:
            The status, headers, body and time of the answer. The status is
            None without an answer by the deadline, or if the connection ended.
        """
        request_id = request_id or uuid.uuid4().hex[:16]
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host_name}",
                 f"Balsamway-Request-Id: {request_id}",
                 f"Balsamway-Request-Deadline: {deadline_ms}"]
        if key is not None:
            lines.append(f"Balsamway-Shard-Key: {key}")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        began = time.monotonic()
        self._record.write("sent", host=self._host.name, request=request_id, path=path)
        status, headers, content = None, {}, b""
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                if self._connection is None:
                    self._connection = await asyncio.open_connection(*self._host.front)
                reader, writer = self._connection
                writer.write(data)
                first, headers, content = await read_message(reader)
                status = int(first.split(" ")[1])
        except (OSError, asyncio.IncompleteReadError):
            self.close()
        if headers.get("connection") == "close":
            self.close()
        seconds = time.monotonic() - began
        self._record.write("answered", host=self._host.name, request=request_id,
                           status=status, seconds=round(seconds, 4),
                           retry_after=headers.get("retry-after"),
                           id=headers.get("balsamway-request-id"))
        return status, headers, content, seconds

    def close(self):
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None


def configuration(services, routes, version=7):
    """Return a configuration.

    Args:
        services: The name of each service, and whether it has keys.
        routes: For each route its host, prefix, type, service, time-out in
            milliseconds, latency objective and priority.
        version: Its version.
    """
    return {
        "version": version,
        "services": [
            {"name": name, "healthPath": "/health", "maxConnections": 51,
             "protocol": "h1", "tls": False} |
            ({"sharded": True, "warmS": 2.0, "grants": "call"} if sharded else {})
            for name, sharded in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "hosts": [
            {"host": host, "paths": [{
                "name": f"r-{index}", "pathPrefix": prefix, "routeType": kind,
                "timeoutMs": timeout, "targetLatencyMs": objective,
                "priority": priority, "service": service, "maxAttempts": 2}]}
            for index, (host, prefix, kind, service, timeout, objective, priority)
            in enumerate(routes)],
    }


def run_case(folder, case):
    """Run a case and end with its status.

    Args:
        folder: The folder of the case.
        case: A function of the record, a temporary folder and whether there
            is trouble. It returns the broken rules, or None if it couldn't
            run.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")
    hosts = []

    async def run():
        with tempfile.TemporaryDirectory() as temporary:
            try:
                async with asyncio.timeout(110):
                    return await case(record, temporary, has_trouble, hosts)
            except TimeoutError:
                print("the case took too long")
                return None
            finally:
                for host in hosts:
                    await host.end()

    if not (ROOT / "target/deps/balsamway").is_dir():
        print("target/deps is missing: run the build of the deploy file")
        sys.exit(2)
    broken = asyncio.run(run())
    record.write("result", trouble=has_trouble, broken=broken)
    record.close()
    if broken is None:
        sys.exit(2)
    for line in broken:
        print(line)
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)
