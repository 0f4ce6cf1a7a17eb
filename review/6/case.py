"""The store is restored from a copy in which a server has not drained yet."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness2 import Client, Host, Server, Store, configuration, run_case

BEAT_MS = 1500
"""The heartbeat of the site gcgra-logs."""
COPY_AGE_SECONDS = 3.0
DRAIN_SECONDS = 2.2
"""How long a server goes on after the store has accepted that it drains."""
AWAY_FROM_SECONDS = 1.2
"""When the store goes away, counted from when the server drains."""
AWAY_SECONDS = 1.5
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
    copied = store.copy()
    await asyncio.sleep(COPY_AGE_SECONDS - AWAY_FROM_SECONDS)
    leaving.drain()
    leave = asyncio.create_task(_leave(leaving))
    await asyncio.sleep(AWAY_FROM_SECONDS)
    if has_trouble:
        await _drill(store, record, copied, servers)
    await asyncio.sleep(WATCHED_SECONDS)
    for task in [*tasks, leave]:
        task.cancel()
    return _broken_rules(hosts, claims, silences)


async def _leave(server):
    await asyncio.sleep(DRAIN_SECONDS)
    server.stop(has_left=True)


async def _drill(store, record, copied, servers):
    """Take the store away and let it come back from a copy.

    The entry of a server that ended meanwhile goes after three heartbeat
    intervals of silence.
    """
    store.is_down = True
    record.write("store-away")
    for writer in tuple(store.writers):
        writer.close()
    await asyncio.sleep(AWAY_SECONDS)
    store.restore(copied)
    store.is_down = False
    record.write("store-back", era=store.era)
    for server in servers:
        if server.is_running:
            server.write_entry()
    asyncio.get_running_loop().call_later(
        3 * BEAT_MS / 1000, _expire, store, record, servers)


def _expire(store, record, servers):
    running = {server.name for server in servers if server.is_running}
    for name in set(store.kinds["servers"]) - running:
        store.delete("servers", name)
        record.write("entry-expired", server=name)


async def _pull(host, record):
    client = Client(host, record)
    while True:
        await client.request("GET", "a.example", "/a/x", PULL_DEADLINE_MS)
        await asyncio.sleep(0.1)


async def _claim(host, record, claims):
    client = Client(host, record)
    while True:
        status, _, _, seconds = await client.request(
            "PUT", "c.example", "/c/x", CLAIM_DEADLINE_MS, body=b"claim")
        claims.append((host.name, status, seconds))
        await asyncio.sleep(0.3)


async def _watch(host, record, silences):
    """Note how long the readiness path of a host answers nothing."""
    silent_since = used = None
    while True:
        answered = await host.readiness(0.5) is not None
        if not answered and silent_since is None:
            silent_since, used = time.monotonic(), host.processor_seconds
        elif answered and silent_since is not None:
            seconds = time.monotonic() - silent_since
            processor = host.processor_seconds - used
            record.write("host-silent", host=host.name, seconds=round(seconds, 2),
                         processor_seconds=round(processor, 2))
            silences.append((host.name, seconds, processor))
            silent_since = None
        await asyncio.sleep(0.1)


def _broken_rules(hosts, claims, silences):
    broken = [f"Fault: the process of {host.name} ended by itself"
              for host in hosts if not host.is_alive]
    for name, seconds, processor in silences:
        if seconds > MAX_SILENT_SECONDS:
            broken.append(f"Fault: {name} answered nothing for {seconds:.1f} s, in "
                          f"which it used {processor:.1f} s of processor time")
    timeout = CLAIM_TIMEOUT_MS / 1000
    long = [seconds for _, _, seconds in claims if seconds > timeout]
    late = [seconds for seconds in long if seconds > timeout + LATE_SECONDS]
    if len(late) >= MIN_LATE_REQUESTS and 2 * len(late) > len(long):
        broken.append(f"CONFIG: of {len(long)} requests unanswered at their route's "
                      f"time-out, {len(late)} had no answer half a second later")
    return broken


run_case(Path(__file__).resolve().parent, case)
