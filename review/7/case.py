"""The connections of a host to the store are reset, some seconds apart."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness2 import Client, Host, Server, Store, configuration, reset, run_case

WRITE_SECONDS = 0.002
"""How long a write is in progress when the connections are reset; the store
takes 4 ms for an answer."""
MAX_WAIT_SECONDS = 5.0
"""How long a write is awaited beside which the host has an idle connection."""
GAP_SECONDS = 0.5
"""The time between two resets, if no host is silent."""
LAST_RESET_SECONDS = 85.0
ENOUGH_SILENCES = 2
MAX_APART_SECONDS = 0.001
"""The longest time between two of the resets."""
RELEASE_GAP_SECONDS = 1.0
DRAIN_SECONDS = 2.2
TIMEOUT_MS, DEADLINE_MS = 800, 1500
STABLE_SECONDS = 3.0
"""How long after a reset of its connections a machine is not in touch."""
LATE_SECONDS = 0.5
"""How long after the time-out of its route a request must have an answer."""
MIN_LATE_REQUESTS = 8
MAX_SILENT_SECONDS = 2.0
"""How long a process that hands back the processor may answer nothing."""


async def case(record, folder, has_trouble, hosts):
    store = Store(record)
    await store.start()
    zones = ("za", "zb", "zc")
    services = (("claims", False), ("logbook", True))
    store.put("config", "main", configuration(services, [
        ("c.example", "/c/", "unsafe", "claims", TIMEOUT_MS, 250, 0),
        ("l.example", "/l/", "safe", "logbook", 1200, 400, 2)]))
    for service, sharded in services:
        for zone in zones:
            await Server(store, record, service, zone, sharded=sharded).start()
    for index, zone in enumerate(zones):
        hosts.append(Host(f"edge-{zone}-{index}", zone, store, zones, folder, record,
                          store_address=await store.open_address(),
                          seeds=[host.control for host in hosts]))
    for host in hosts:
        await host.start()
    for host in hosts:
        if not await host.wait_ready():
            print(f"{host.name} is not ready")
            return None
    await asyncio.sleep(4.0)
    requests, silences, resets = [], [], []
    tasks = [asyncio.create_task(_release(store, record, zones))]
    for host in hosts:
        tasks.append(asyncio.create_task(_watch(host, record, silences)))
        for _ in range(15):
            tasks.append(asyncio.create_task(_send(host, record, requests)))
    await asyncio.sleep(2.0)
    while record.seconds < LAST_RESET_SECONDS and len(silences) < ENOUGH_SILENCES:
        if has_trouble:
            done = await _reset_at_next_write(store, hosts, record)
            if done is not None:
                resets.append(done)
        await asyncio.sleep(random.uniform(0.6, 1.4) * GAP_SECONDS)
        while any([await host.readiness(0.5) is None for host in hosts]):
            await asyncio.sleep(0.5)
    await asyncio.sleep(2.0)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return _broken_rules(hosts, requests, silences, resets)


async def _reset_at_next_write(store, hosts, record):
    """Reset some of a host's connections to the store while it writes there.

    These are the one with the write, and those without a call.

    Returns:
        The host and the time, or None if there was no such write.
    """
    write = asyncio.get_running_loop().create_future()

    def idle_beside(writer):
        return [other for other in store.writers - store.busy
                if store.addresses[other] == store.addresses[writer]]

    def on_write(writer, target):
        if "lease" in target and idle_beside(writer) and not write.done():
            write.set_result((writer, target))

    store.on_write = on_write
    try:
        writer, target = await asyncio.wait_for(write, MAX_WAIT_SECONDS)
    except asyncio.TimeoutError:
        return None
    finally:
        store.on_write = None
    await asyncio.sleep(WRITE_SECONDS)
    address = store.addresses[writer]
    host = next(host for host in hosts if host.store_address == address)
    known = [other for other in store.writers if store.addresses[other] == address]
    idle = idle_beside(writer)
    for other in [writer, *idle]:
        reset(other)
        until = time.monotonic() + random.uniform(0, MAX_APART_SECONDS)
        while time.monotonic() < until:
            await asyncio.sleep(0)
    record.write("connections-reset", host=host.name, call=target,
                 connections=len(known), reset=1 + len(idle))
    return host.name, time.monotonic()


async def _release(store, record, zones):
    """Replace the servers of a service one after the other, as planned."""
    running = []
    while True:
        new = Server(store, record, "logbook", zones[len(running) % 3], sharded=True)
        await new.start()
        running.append(new)
        await asyncio.sleep(RELEASE_GAP_SECONDS)
        if len(running) > 4:
            asyncio.create_task(_leave(running.pop(0)))


async def _leave(server):
    server.drain()
    await asyncio.sleep(DRAIN_SECONDS)
    server.stop(has_left=True)


async def _send(host, record, requests):
    client = Client(host, record)
    while True:
        sent_at = time.monotonic()
        status, _, _, seconds = await client.request(
            "PUT", "c.example", "/c/x", DEADLINE_MS, body=b"claim")
        requests.append((host.name, sent_at, seconds))
        await asyncio.sleep(0.1)


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


def _broken_rules(hosts, requests, silences, resets):
    broken = [f"Fault: the process of {host.name} ended by itself"
              for host in hosts if not host.is_alive]
    for name, seconds, processor in silences:
        if seconds > MAX_SILENT_SECONDS:
            broken.append(f"Fault: {name} answered nothing for {seconds:.1f} s, in "
                          f"which it used {processor:.1f} s of processor time")
    timeout = TIMEOUT_MS / 1000
    long = [seconds for name, sent_at, seconds in requests
            if seconds > timeout and not _was_reset(name, sent_at, resets)]
    late = [seconds for seconds in long if seconds > timeout + LATE_SECONDS]
    if len(late) >= MIN_LATE_REQUESTS and 2 * len(late) > len(long):
        broken.append(f"CONFIG: of {len(long)} requests unanswered at their route's "
                      f"time-out, {len(late)} had no answer half a second later")
    return broken


def _was_reset(name, sent_at, resets):
    """Whether a host was not in touch from the sending to the judgement."""
    until = sent_at + TIMEOUT_MS / 1000 + LATE_SECONDS
    return any(host == name and at - 0.1 <= until and sent_at < at + STABLE_SECONDS
               for host, at in resets)


run_case(Path(__file__).resolve().parent, case)
