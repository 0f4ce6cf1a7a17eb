"""Clients on kept connections read their answers slowly."""

import asyncio
import socket
import sys
import time
import uuid
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness2 import BOUNDS, Host, Server, Store, configuration, run_case

ANSWER_BYTES = 30_000
"""The largest answer in the sheets of the sites."""
RECEIVE_BUFFER_BYTES = 4096
PAUSE_SECONDS = 2.5
"""How long a client that reads slowly reads nothing."""
TIMEOUT_MS, DEADLINE_MS = 3000, 6143
"""Those of licence-issue at clause-commons-grown."""
CLIENTS = 8
MAX_LOST = 3
"""How many responses one machine may lose."""


class LicenceServer(Server):
    """Answers with a long body."""

    async def _answer(self, method, path, headers, body):
        status, fields, _ = await super()._answer(method, path, headers, body)
        return status, fields, b"x" * ANSWER_BYTES if status == 200 else b""


async def case(record, folder, has_trouble, hosts):
    store = Store(record)
    await store.start()
    zones = ("za", "zb")
    store.put("config", "main", configuration((("licensing", False),), [
        ("i.example", "/i/", "unsafe", "licensing", TIMEOUT_MS, 819, 1)]))
    for zone in zones:
        for _ in range(2):
            await LicenceServer(store, record, "licensing", zone, capacity=4,
                                work_seconds=0.2).start()
    for index, zone in enumerate(zones):
        hosts.append(Host(f"edge-{zone}-{index}", zone, store, zones, folder, record,
                          seeds=[host.control for host in hosts]))
    for host in hosts:
        await host.start()
    for host in hosts:
        if not await host.wait_ready():
            print(f"{host.name} is not ready")
            return None
    await asyncio.sleep(BOUNDS["stableWindowMs"] / 1000 + 1.0)
    pause = PAUSE_SECONDS if has_trouble else 0.0
    results = await asyncio.gather(*(
        asyncio.to_thread(_request_twice, hosts[index % 2], record, pause)
        for index in range(CLIENTS)))
    broken = []
    for index, host in enumerate(hosts):
        lost = [result for result in results[index::2] if result is not None]
        if len(lost) > MAX_LOST:
            broken += [f"LOST: {host.name}: {line}" for line in lost]
    return broken


def _request_twice(host, record, pause):
    """Send two requests on one connection, and read the second answer late.

    Returns:
        What became of the second answer if it is not complete.
    """
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.settimeout(DEADLINE_MS / 1000)
        sock.connect(host.front)
        if _exchange(sock, host, record, 0.0) is not None:
            return "the first answer was not complete"
        return _exchange(sock, host, record, pause)


def _exchange(sock, host, record, pause):
    request_id = uuid.uuid4().hex[:16]
    record.write("sent", host=host.name, request=request_id)
    began = time.monotonic()
    sock.sendall(
        f"POST /i/x HTTP/1.1\r\nHost: i.example\r\nBalsamway-Request-Id: {request_id}\r\n"
        f"Balsamway-Request-Deadline: {DEADLINE_MS}\r\nContent-Length: 7\r\n\r\n"
        "licence".encode())
    data = b""
    error = "the connection ended"
    try:
        data = sock.recv(1)
        time.sleep(pause)
        while b"\r\n\r\n" not in data or len(data) < data.index(b"\r\n\r\n") + 4 + ANSWER_BYTES:
            more = sock.recv(65536)
            if not more:
                break
            data += more
        else:
            error = None
    except OSError as raised:
        error = str(raised)
    seconds = time.monotonic() - began
    record.write("answered", host=host.name, request=request_id, bytes=len(data),
                 seconds=round(seconds, 3), error=error)
    if error is None:
        return None
    return (f"{seconds:.2f} s after request {request_id} was sent, {len(data)} bytes of "
            f"its answer had come: {error}")


run_case(Path(__file__).resolve().parent, case)
