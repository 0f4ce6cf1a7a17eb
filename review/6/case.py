"""A write of a server's entry is done late, when the server drains already."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness2 import Client, Host, Server, Store, configuration, run_case

BEAT_MS = 1500
"""The heartbeat of the site gcgra-logs."""
DRAIN_SECONDS = 9.0
"""How long the server goes on after the store has accepted that it drains."""
WRITE_BEFORE_SECONDS = 0.3
"""How long before that the server sent the heartbeat that is done late."""
WRITE_LATE_SECONDS = 4.0
"""How long after it was sent the store does the write."""
STABLE_SECONDS = 3.0
"""How long after the late write no machine is in touch."""
WATCHED_SECONDS = 20.0
PULL_TIMEOUT_MS, PULL_DEADLINE_MS = 4000, 8000
CLAIM_TIMEOUT_MS, CLAIM_DEADLINE_MS = 800, 1500
LATE_SECONDS = 0.5
"""How long after the time-out of its route a request must have an answer."""
MIN_LATE_REQUESTS = 8
MAX_SILENT_SECONDS = 2.0
"""How long a process that hands back the processor may answer nothing."""


async def case(record, folder, has_trouble, hosts):
    store = Store(record)
    await store.start()
    zones = ("za", "zb")
    services = (("archive", False), ("claims", False))
    store.put("config", "main", configuration(services, [
        ("a.example", "/a/", "safe", "archive", PULL_TIMEOUT_MS, 1200, 2),
        ("c.example", "/c/", "unsafe", "claims", CLAIM_TIMEOUT_MS, 250, 0)]))
    servers = []
    for service, _ in services:
        for zone in zones:
            for index in range(2):
                servers.append(Server(store, record, service, zone, beat_ms=BEAT_MS,
                                      work_seconds=0.08 if index else 0.12))
                await servers[-1].start()
    leaving = servers[1]
    for index, zone in enumerate(("za", "za", "za", "zb")):
        hosts.append(Host(f"edge-{zone}-{index}", zone, store, zones, folder, record,
                          beat_ms=BEAT_MS, seeds=[host.control for host in hosts]))
    for host in hosts:
        await host.start()
    for host in hosts:
        if not await host.wait_ready():
            print(f"{host.name} is not ready")
            return None
    await asyncio.sleep(4.0)
    claims = []
    silences = []
    tasks = []
    for host in hosts:
        for _ in range(3):
            tasks.append(asyncio.create_task(_pull(host, record)))
        for _ in range(10):
            tasks.append(asyncio.create_task(_claim(host, record, claims)))
        tasks.append(asyncio.create_task(_watch(host, record, silences)))
    await asyncio.sleep(4.0)
    heartbeat = dict(store.kinds["servers"][leaving.name]["spec"])
    heartbeat["sequence"] += 1
    sent_at = time.monotonic()
    await asyncio.sleep(WRITE_BEFORE_SECONDS)
    leaving.drain()
    tasks.append(asyncio.create_task(_leave(leaving)))
    await asyncio.sleep(sent_at + WRITE_LATE_SECONDS - time.monotonic())
    if has_trouble:
        record.write("late-write", server=leaving.name, state=heartbeat["state"],
                     sequence=heartbeat["sequence"])
        store.put("servers", leaving.name, heartbeat)
    stable_at = time.monotonic() + STABLE_SECONDS
    await asyncio.sleep(WATCHED_SECONDS)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return _broken_rules(hosts, claims, silences, stable_at)


async def _leave(server):
    await asyncio.sleep(DRAIN_SECONDS)
    server.stop(has_left=True)


async def _pull(host, record):
    client = Client(host, record)
    while True:
        await client.request("GET", "a.example", "/a/x", PULL_DEADLINE_MS)
        await asyncio.sleep(0.1)


async def _claim(host, record, claims):
    client = Client(host, record)
    while True:
        sent_at = time.monotonic()
        _, _, _, seconds = await client.request(
            "PUT", "c.example", "/c/x", CLAIM_DEADLINE_MS, body=b"claim")
        claims.append((sent_at, seconds))
        await asyncio.sleep(0.3)


async def _watch(host, record, silences):
    """Note how long the readiness path of a host answers nothing."""
    silent_since = used = None

    def note_silence():
        seconds = time.monotonic() - silent_since
        processor = host.processor_seconds - used
        record.write("host-silent", host=host.name, seconds=round(seconds, 2),
                     processor_seconds=round(processor, 2))
        silences.append((host.name, seconds, processor))

    try:
        while True:
            answered = await host.readiness(0.5) is not None
            if not answered and silent_since is None:
                silent_since, used = time.monotonic(), host.processor_seconds
            elif answered and silent_since is not None:
                note_silence()
                silent_since = None
            await asyncio.sleep(0.1)
    finally:
        if silent_since is not None:
            note_silence()


def _broken_rules(hosts, claims, silences, stable_at):
    broken = [f"Fault: the process of {host.name} ended by itself"
              for host in hosts if not host.is_alive]
    for name, seconds, processor in silences:
        if seconds > MAX_SILENT_SECONDS:
            broken.append(f"Fault: {name} answered nothing for {seconds:.1f} s, in "
                          f"which it used {processor:.1f} s of processor time")
    timeout = CLAIM_TIMEOUT_MS / 1000
    long = [seconds for sent_at, seconds in claims
            if seconds > timeout and sent_at > stable_at]
    late = [seconds for seconds in long if seconds > timeout + LATE_SECONDS]
    if len(late) >= MIN_LATE_REQUESTS and 2 * len(late) > len(long):
        broken.append(f"CONFIG: of {len(long)} requests unanswered at their route's "
                      f"time-out, {len(late)} had no answer half a second later")
    return broken


run_case(Path(__file__).resolve().parent, case)
