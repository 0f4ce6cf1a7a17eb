"""Small stand-ins for the platform, its instances and its clients.

They speak what the platform's pages say, and run in the process of a case's
script. The entry hosts are the project's own program, started as separate
processes with the command of `deploy/system.toml`.
"""

from __future__ import annotations

import asyncio
import gc
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY_COUNT = 65_536
METRICS_PORT = 9464
"""The port for metrics that the deploy file names."""
STARTED_AT = time.monotonic()


def seconds():
    """Return the seconds since the script began."""
    return time.monotonic() - STARTED_AT


class Record:
    """Writes the lines of `record.txt`."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def write(self, *parts):
        self._file.write(f"{seconds():9.3f} " + " ".join(map(str, parts)) + "\n")
        self._file.flush()

    def say(self, *parts):
        self.write(*parts)
        print(f"{seconds():7.2f}", *parts, flush=True)


def free_ports(ip, count):
    """Return ports that nothing listens on at an address."""
    sockets = [socket.create_server((ip, 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def free_ip(number):
    """Return a loopback address at which the metrics port is free."""
    while True:
        ip = f"127.{random.randrange(16, 255)}.{random.randrange(1, 255)}.{number}"
        try:
            socket.create_server((ip, METRICS_PORT)).close()
        except OSError:
            continue
        return ip


async def read_message(reader):
    """Read one HTTP message with a length: its start line, headers, body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


def message(status, headers, body=b""):
    """Encode a response with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Serves HTTP requests, one at a time on a connection."""

    def __init__(self, ip="127.0.0.1", port=0):
        self.ip, self.port = ip, port
        self._server = None
        self._writers = set()
        self._tasks = set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """End as a process does that is killed: all connections end."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def handle(self, start, headers, body, writer):
        """Return the bytes of the response, or None to close without one."""
        raise NotImplementedError

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                start, headers, body = await read_message(reader)
                response = await self._watched(reader, start, headers, body, writer)
                if response is None:
                    return
                writer.write(response)
                await writer.drain()
                if b"Connection: close" in response[:2000]:
                    return
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()

    async def _watched(self, reader, start, headers, body, writer):
        """Drop the work if the connection ends meanwhile."""
        work = asyncio.ensure_future(self.handle(start, headers, body, writer))
        try:
            while not work.done():
                await asyncio.wait({work}, timeout=0.02)
                if reader.at_eof() or writer.transport.is_closing():
                    break
            if not work.done():
                work.cancel()
                return None
            return work.result()
        finally:
            work.cancel()


class Store(Server):
    """The platform's metadata store: objects, conditional writes, watches."""

    def __init__(self, record):
        super().__init__()
        self._record = record
        self._kinds = {}
        self._events = []
        self._revision = 100
        self._changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Write as the operator or an instance does."""
        objects = self._kinds.setdefault(kind, {})
        self._revision += 1
        objects[name] = {
            "metadata": {
                "name": name,
                "revision": self._revision,
                "created": self._revision,
                "finalizers": [],
                "deletionPending": False,
            },
            "spec": spec,
            "status": None,
        }
        self._note(kind, objects[name], removed=False)

    def remove(self, kind, name):
        found = self._kinds.get(kind, {}).pop(name, None)
        if found is not None:
            self._revision += 1
            self._note(kind, found, removed=True)

    def find(self, kind, name):
        return self._kinds.get(kind, {}).get(name)

    def _note(self, kind, found, removed):
        self._events.append(
            (self._revision, kind, {"object": dict(found), "removed": removed})
        )
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, start, headers, body, writer):
        method, target, _ = start.split(" ")
        path, _, query = target.partition("?")
        options = dict(part.split("=") for part in query.split("&") if part)
        _, _, kind, *rest = path.split("/")
        name = rest[0] if rest else None
        if method == "GET" and "watch" in options:
            return await self._watch(kind, options)
        await asyncio.sleep(0.004)
        if method == "GET" and name is None:
            items = list(self._kinds.get(kind, {}).values())
            return self._json(
                200, {"items": items, "hasMore": False, "asOf": self._revision}
            )
        if method == "GET":
            found = self.find(kind, name)
            return self._json(404, {}) if found is None else self._json(200, found)
        document = json.loads(body)
        name = name or document["metadata"]["name"]
        found = self.find(kind, name)
        if method == "POST":
            if found is not None:
                return self._json(409, found)
            self.put(kind, name, document["spec"])
            return self._json(201, self.find(kind, name))
        if found is None:
            return self._json(404, {})
        wanted = document["metadata"].get("revision")
        if wanted is not None and wanted != found["metadata"]["revision"]:
            return self._json(409, found)
        if found["spec"] != document["spec"]:
            self.put(kind, name, document["spec"])
        return self._json(200, self.find(kind, name))

    async def _watch(self, kind, options):
        after = int(options["watch"])
        until = time.monotonic() + int(options.get("waitMs", 0)) / 1000
        while True:
            events = [
                event
                for revision, of_kind, event in self._events
                if of_kind == kind and revision > after
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return self._json(200, {"events": events, "asOf": self._revision})
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass

    def _json(self, status, document):
        headers = {"Content-Type": "application/json", "Store-Era": "1"}
        return message(status, headers, json.dumps(document).encode())


class Instance(Server):
    """A sound instance; a keyed one runs only requests whose keys it holds."""

    def __init__(
        self,
        record,
        store,
        service,
        name,
        zone="z1",
        keyed=False,
        capacity=3,
        work_seconds=0.05,
        ip="127.0.0.1",
        port=0,
    ):
        super().__init__(ip, port)
        self.record, self.store = record, store
        self.service, self.name, self.zone = service, name, zone
        self.keyed, self.capacity = keyed, capacity
        self.work_seconds = work_seconds
        self.born = int(time.time() * 1000)
        self.ran = {}
        """How often each request id ran."""
        self._slots = asyncio.Semaphore(capacity)
        self._queued = 0
        self._fences = [0] * KEY_COUNT
        self._held_until = [0.0] * KEY_COUNT
        self.keep_alive_seconds = 10
        self.arrived = None
        """When the order that is carried out arrived, if that was earlier."""

    async def start(self):
        await super().start()
        self.register()

    def register(self, state="ready"):
        self.store.put(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "capacity": self.capacity,
                "state": state,
                "warmupLeftMs": 0,
                "sequence": 1,
                "born": self.born,
            },
        )

    def is_held(self, key):
        return time.monotonic() < self._held_until[key]

    async def handle(self, start, headers, body, writer):
        method, path, _ = start.split(" ")
        wanted = headers.get("balsamway-target-instance", self.name)
        if path in ("/grant", "/release"):
            if wanted != self.name:
                return message(421, {"Balsamway-Instance-Id": self.name})
            order = json.loads(body)
            return self.grant(order) if path == "/grant" else self.release(order)
        request_id = headers.get("balsamway-request-id")
        if request_id is None:
            return message(400, {"Balsamway-Not-Executed": "1"})
        if wanted != self.name:
            return self.refuse(421, request_id)
        if self.keyed and not self.is_held(int(headers["balsamway-shard-key"])):
            return self.refuse(421, request_id)
        if self._slots.locked() and self._queued >= 12:
            return self.refuse(503, request_id)
        deadline = int(headers.get("balsamway-request-deadline", 60_000)) / 1000
        self._queued += 1
        try:
            async with asyncio.timeout(deadline):
                await self._slots.acquire()
        except TimeoutError:
            return self.refuse(503, request_id)
        finally:
            self._queued -= 1
        try:
            self.ran[request_id] = self.ran.get(request_id, 0) + 1
            self.record.write("run", request_id, self.name, method, path)
            return await self.work(request_id, writer)
        finally:
            self._slots.release()

    async def work(self, request_id, writer):
        """Run a request and return the response."""
        await asyncio.sleep(self.work_seconds)
        return self.answer(request_id, f"{self.name} ran {request_id}".encode())

    def answer(self, request_id, body):
        headers = {
            "Balsamway-Request-Id": request_id,
            "Balsamway-Response-Signature": f"sig.{request_id}.{len(body)}",
            "Keep-Alive": f"timeout={self.keep_alive_seconds}",
        }
        return message(200, headers, body)

    def refuse(self, status, request_id):
        return message(
            status,
            {
                "Balsamway-Request-Id": request_id,
                "Balsamway-Not-Executed": "1",
                "Balsamway-Instance-Id": self.name,
            },
        )

    def grant(self, order):
        first, last, fence = order["from"], order["to"], order["fence"]
        status = 200
        if max(self._fences[first : last + 1]) > fence:
            status = 409
        else:
            until = (self.arrived or time.monotonic()) + order["holdMs"] / 1000
            count = last - first + 1
            self._fences[first : last + 1] = [fence] * count
            self._held_until[first : last + 1] = [until] * count
        self.record.write(
            "grant",
            self.name,
            f"born={self.born}",
            f"{first}-{last}",
            f"fence={fence}",
            f"holdMs={order['holdMs']}",
            status,
        )
        self.on_grant(order, status)
        return message(status, {"Keep-Alive": f"timeout={self.keep_alive_seconds}"})

    def on_grant(self, order, status):
        """Called with each grant and the status that it is answered with."""

    def release(self, order):
        first, last, fence = order["from"], order["to"], order["fence"]
        for key in range(first, last + 1):
            self._fences[key] = max(self._fences[key], fence)
            self._held_until[key] = 0.0
        self.record.write("release", self.name, f"{first}-{last}", f"fence={fence}")
        handover = f"{random.getrandbits(64):016x}"
        return message(200, {"Balsamway-Handover": handover})


class EntryHost:
    """One `balsamwayd`, started with the command of the deploy file."""

    def __init__(self, record, store, number, zone="z1"):
        self.record = record
        self.name = f"edge-{number}"
        self.zone = zone
        self.ip = free_ip(number)
        front, ready, control, *inner = free_ports(self.ip, 5)
        self.front = (self.ip, front)
        self.ready = (self.ip, ready)
        self.control = f"{self.ip}:{control}"
        self._inner = inner
        self._store = store
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.log_path = self._folder / "log"
        self.process = None

    def write_settings(self, seeds):
        (self._folder / "settings.toml").write_text(
            f"""grants = "call"
[self]
node = "{self.name}"
role = "gateway"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "r1"
faultCounted = false
bootstrap = true
[self.limits]
cpuShare = 0.86
cpuCores = 1
memoryMb = 300
maxFds = 4100
[network]
internalPorts = [{self._inner[0]},{self._inner[1]}]
seeds = {json.dumps(seeds)}
[network.listen]
front = "{self.front[0]}:{self.front[1]}"
readyAddress = "{self.ready[0]}:{self.ready[1]}"
control = "{self.control}"
[network.zones]
{self.zone} = "r1"
[platform]
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
[platform.platform]
address = "{self._store.address}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
[terms.bounds]
stableWindowMs = 3000
drainMs = 2000
graceS = 6
configApplyMs = 2000
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 64
holdMaxMs = 10000
"""
        )

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BALSAMWAY_NODE_FILE"] = str(self._folder / "settings.toml")
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write("start", self.name, f"pid={self.process.pid}")

    def send_signal(self, number):
        self.record.write("signal", self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    async def is_ready(self, timeout=1.0):
        """Ask as the platform does; False without a 200 in time."""
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(*self.ready)
                try:
                    writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                    start, _, _ = await read_message(reader)
                    return start.split(" ")[1] == "200"
                finally:
                    writer.close()
        except (OSError, EOFError, TimeoutError):
            return False

    async def wait_ready(self, limit=20.0):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()

    def remove_folder(self):
        shutil.rmtree(self._folder, ignore_errors=True)


class Answer:
    """What a client saw of one request."""

    def __init__(self, request_id, kind, sent_at):
        self.request_id, self.kind, self.sent_at = request_id, kind, sent_at
        self.answered_at = None
        self.status = None
        self.body = b""
        self.headers = {}
        self.error = ""
        self.was_kept = False
        """Whether the connection had carried a request before."""
        self.was_closed = False
        """Whether the connection ended without an answer."""

    @property
    def seconds(self):
        return None if self.answered_at is None else self.answered_at - self.sent_at


class Client:
    """Sends requests to one entry host, each connection one at a time."""

    def __init__(self, record, host):
        self.record, self.host = record, host
        self.answers = []
        self._idle = []

    async def send(
        self,
        kind,
        method,
        path,
        authority,
        deadline_ms,
        key=None,
        body=b"",
        wait_seconds=None,
        request_id=None,
    ):
        """Send one request; wait for as long as its deadline or as told."""
        request_id = request_id or f"{random.getrandbits(64):016x}"
        answer = Answer(request_id, kind, time.monotonic())
        self.answers.append(answer)
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {authority}",
            f"Balsamway-Request-Id: {request_id}",
            f"Balsamway-Request-Deadline: {deadline_ms}",
        ]
        if key is not None:
            lines.append(f"Balsamway-Shard-Key: {key}")
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
        self.record.write("send", request_id, kind, self.host.name, f"key={key}")
        writer = None
        try:
            async with asyncio.timeout(wait_seconds or deadline_ms / 1000):
                reader, writer, answer.was_kept = await self._connection()
                answer.sent_at = time.monotonic()
                writer.write(data)
                start, headers, found = await read_message(reader)
                answer.answered_at = time.monotonic()
                answer.status = int(start.split(" ")[1])
                answer.headers, answer.body = headers, found
                if headers.get("connection", "").lower() != "close":
                    self._idle.append((reader, writer))
                    writer = None
        except TimeoutError:
            answer.error = "no answer in time"
        except (OSError, EOFError) as error:
            answer.was_closed = writer is not None
            answer.error = f"{type(error).__name__}: {error}"
        finally:
            if writer is not None:
                writer.close()
        self.record.write(
            "answer",
            request_id,
            kind,
            answer.status or answer.error,
            f"after={time.monotonic() - answer.sent_at:.3f}",
        )
        return answer

    async def _connection(self):
        while self._idle:
            reader, writer = self._idle.pop()
            if not reader.at_eof() and not writer.transport.is_closing():
                return reader, writer, True
        return *await asyncio.open_connection(*self.host.front), False


async def every(interval, count, send):
    """Start `send(number)` at a fixed interval; wait until all have ended."""
    begin = time.monotonic()
    tasks = []
    for number in range(count):
        await asyncio.sleep(max(0.0, begin + number * interval - time.monotonic()))
        tasks.append(asyncio.ensure_future(send(number)))
    return await asyncio.gather(*tasks)


def run(folder, case):
    """Run a case; exit with 1 if the rule broke, 0 if it held, 2 if neither.

    The case is a coroutine function that gets the record and a list for what
    must be ended, and returns whether the rule was broken.
    """
    record = Record(folder)
    status = 2

    async def main():
        nonlocal status
        to_end = []
        try:
            async with asyncio.timeout(110):
                status = 1 if await case(record, to_end) else 0
        except Exception as error:
            record.say("the case could not run:", repr(error))
        finally:
            for host in to_end:
                await host.kill()
                host.remove_folder()
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)
            # Closes what the garbage collector would close too late.
            gc.collect()
            await asyncio.sleep(0)

    asyncio.run(main())
    record.say("exit", status)
    raise SystemExit(status)
