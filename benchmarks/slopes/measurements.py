"""Measures each role at a few sizes."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgpack
import msgspec

from balsamway.balance import HeavyHitters, PlacementPlanner
from balsamway.configuration import RequestKind, Service, WorkspaceConfiguration, Zone
from balsamway.configuration.codec import decode_configuration, encode_configuration
from balsamway.membership.heartbeat import Heartbeat
from balsamway.membership.leadership_claim import LeadershipClaim
from balsamway.ownership.messages import (
    PromiseAnswer,
    PromiseRequest,
    ViewAnswer,
    ViewRequest,
)
from balsamway.ownership.view_cache import ViewCache
from balsamway.ownership.witness_state import WitnessState
from balsamway.peers.codec import Frame, decode, encode
from balsamway.slices import POSITION_END, Witness
from balsamway.slices.record_codec import decode_record, encode_record
from balsamway.store import Host, HostRole
from benchmarks.slopes import samples
from benchmarks.slopes.meter import memory_bytes, processor_seconds
from benchmarks.slopes.slope import Slope

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

SIZES = (10, 30, 100, 300)
SLICES = (64, 256, 512, 1024)
KEYS = (1_000, 10_000, 100_000)
MICRO = 1e6


def message_bytes(message: object) -> int:
    """Gives a message's size on the stream."""
    return len(encode(Frame(4711, False, message)))


def message_seconds(message: object) -> float:
    """Gives the processor time to encode and decode a message."""

    def work() -> None:
        decode(msgpack.unpackb(encode(Frame(4711, False, message))))

    return processor_seconds(work)


def measure(
    role: str,
    quantity: str,
    unit: str,
    size: str,
    sizes: Sequence[int],
    value: Callable[[int], float],
) -> Slope:
    """Measures a quantity at some sizes."""
    values = tuple(float(value(each)) for each in sizes)
    return Slope(role, quantity, unit, size, tuple(map(float, sizes)), values)


def gateway_slopes() -> list[Slope]:
    """Measures what a gateway does besides carrying requests."""
    return [
        measure("gateway", "find an owner", "us", "slices", SLICES, _route_us),
        measure("gateway", "count a request", "us", "slices", SLICES, _record_us),
        measure("gateway", "count a request", "us", "keys", KEYS, _sketch_us),
        measure("gateway", "sketch", "bytes", "keys", KEYS, _sketch_bytes),
        measure("gateway", "view held", "bytes", "slices", SLICES, _view_memory),
        measure("gateway", "whole view sent", "bytes", "slices", SLICES, _view_bytes),
        measure("gateway", "whole view", "us", "slices", SLICES, _view_us),
        measure("gateway", "load report", "bytes", "slices", SLICES, _report_bytes),
        measure("gateway", "load report", "us", "slices", SLICES, _report_us),
    ]


def leader_slopes() -> list[Slope]:
    """Measures what the leader of a shard does."""
    return [
        measure("leader", "estimate", "us", "gateways", SIZES, _estimate_us),
        measure("leader", "estimate", "us", "slices", SLICES, _estimate_slices_us),
        measure("leader", "estimate", "bytes", "gateways", SIZES, _estimate_bytes),
        measure("leader", "plan", "us", "targets", SIZES, _plan_us),
        measure("leader", "plan", "us", "slices", SLICES, _plan_slices_us),
        measure("leader", "record held", "bytes", "slices", SLICES, _record_memory),
    ]


def target_slopes() -> list[Slope]:
    """Measures the grants that a target is sent."""
    return [
        measure("target side", "grant", "bytes", "ranges", SIZES, _grant_bytes),
        measure("target side", "grant", "us", "ranges", SIZES, _grant_us),
    ]


def store_slopes() -> list[Slope]:
    """Measures the objects in the store."""
    return [
        measure("store", "shard record", "bytes", "slices", SLICES, _stored_bytes),
        measure("store", "read a record", "us", "slices", SLICES, _decode_us),
    ]


def witness_slopes() -> list[Slope]:
    """Measures what a witness remembers and answers."""
    return [
        measure("witness", "state", "bytes", "shards", SIZES, _witness_bytes),
        measure("witness", "promises", "bytes", "shards", SIZES, _promise_bytes),
        measure("witness", "promises", "us", "shards", SIZES, _promise_us),
    ]


def relay_slopes() -> list[Slope]:
    """Measures heartbeats and configurations."""
    return [
        measure("relay", "configuration", "bytes", "services", (1, 2, 4), _conf_bytes),
        measure("relay", "adopt it", "us", "services", (1, 2, 4), _conf_us),
        measure("membership", "heartbeats", "bytes", "hosts", SIZES, _beat_bytes),
        measure("membership", "heartbeats", "us", "hosts", SIZES, _beat_us),
        measure("membership", "list of hosts", "bytes", "hosts", SIZES, _hosts_bytes),
    ]


def renewal_bytes() -> int:
    """Gives the size of a view's renewal and its answer."""
    request = ViewRequest(samples.SHARD, 7, 120)
    answer = ViewAnswer(None, True, 2.0)
    return message_bytes(request) + message_bytes(answer)


def renewal_seconds() -> float:
    """Gives the processor time of a view's renewal and its answer."""
    request = ViewRequest(samples.SHARD, 7, 120)
    return message_seconds(request) + message_seconds(ViewAnswer(None, True, 2.0))


def _route_us(slices: int) -> float:
    cache = ViewCache(samples.SHARD)
    cache.adopt(samples.view(slices))
    positions = [POSITION_END // 997 * index for index in range(997)]

    def work() -> None:
        for position in positions:
            cache.route(position)

    return processor_seconds(work) * MICRO / len(positions)


def _record_us(slices: int) -> float:
    recorder = samples.filled_recorder(slices)
    positions = [POSITION_END // 997 * index for index in range(997)]

    def work() -> None:
        for position in positions:
            recorder.record(samples.SHARD, position, 0.01)

    return processor_seconds(work) * MICRO / len(positions)


def _filled_sketch(keys: int) -> HeavyHitters:
    rng = random.Random(samples.SEED)
    sketch = HeavyHitters(128)
    for _ in range(2000):
        sketch.record(rng.randrange(keys), 0.01)
    return sketch


def _sketch_us(keys: int) -> float:
    rng = random.Random(samples.SEED)
    sketch = _filled_sketch(keys)
    positions = [rng.randrange(keys) for _ in range(5000)]

    def work() -> None:
        for position in positions:
            sketch.record(position, 0.01)

    return processor_seconds(work) * MICRO / len(positions)


def _sketch_bytes(keys: int) -> float:
    return memory_bytes(lambda: _filled_sketch(keys))


def _view_memory(slices: int) -> float:
    sent = encode(Frame(1, False, ViewAnswer(samples.view(slices), True, 2.0)))

    def build() -> ViewCache:
        cache = ViewCache(samples.SHARD)
        cache.adopt(decode(msgpack.unpackb(sent)).message.view)
        return cache

    return memory_bytes(build)


def _view_bytes(slices: int) -> float:
    return message_bytes(ViewAnswer(samples.view(slices), True, 2.0))


def _view_us(slices: int) -> float:
    return message_seconds(ViewAnswer(samples.view(slices), True, 2.0)) * MICRO


def _report_bytes(slices: int) -> float:
    return message_bytes(samples.load_report(slices))


def _report_us(slices: int) -> float:
    return message_seconds(samples.load_report(slices)) * MICRO


def _estimate_us(gateways: int) -> float:
    return _estimate_seconds(gateways, 256) * MICRO


def _estimate_slices_us(slices: int) -> float:
    return _estimate_seconds(30, slices) * MICRO


def _estimate_seconds(gateways: int, slices: int) -> float:
    estimate = samples.loaded_estimate(gateways, slices)
    report = samples.load_report(slices)
    parts = samples.ranges(slices)

    def work() -> None:
        for index in range(gateways):
            estimate.update(f"entry-host-{index:05}", report, 1.0)
        estimate.loads(parts, 1.0)

    return processor_seconds(work)


def _estimate_bytes(gateways: int) -> float:
    return memory_bytes(lambda: samples.loaded_estimate(gateways, 256))


def _plan_us(targets: int) -> float:
    state = samples.placement_input(512, targets)
    return processor_seconds(lambda: PlacementPlanner().plan(state)) * MICRO


def _plan_slices_us(slices: int) -> float:
    state = samples.placement_input(slices, 30)
    return processor_seconds(lambda: PlacementPlanner().plan(state)) * MICRO


def _record_memory(slices: int) -> float:
    stored = encode_record(samples.record(slices))
    return memory_bytes(lambda: decode_record(stored))


def _grant_bytes(count: int) -> float:
    return len(msgspec.json.encode(samples.grant(count)))


def _grant_us(count: int) -> float:
    order = samples.grant(count)
    return processor_seconds(lambda: msgspec.json.encode(order)) * MICRO


def _stored_bytes(slices: int) -> float:
    return len(encode_record(samples.record(slices)))


def _decode_us(slices: int) -> float:
    stored = encode_record(samples.record(slices))
    return processor_seconds(lambda: decode_record(stored)) * MICRO


def _witness_bytes(shards: int) -> float:
    def build() -> dict[str, WitnessState]:
        return {
            f"workspace-{index}/inventory/0": WitnessState(
                index + 1000, Witness(f"entry-host-{index:05}", index << 40), index / 7
            )
            for index in range(shards)
        }

    return memory_bytes(build)


def _promise() -> tuple[PromiseRequest, PromiseAnswer]:
    first = Witness("entry-host-00001", 1 << 60)
    second = Witness("entry-host-00002", 1 << 60)
    request = PromiseRequest(samples.SHARD, 7, first, second, 1.2)
    return request, PromiseAnswer(True, 7, 1 << 60)


def _promise_bytes(shards: int) -> float:
    return shards * sum(map(message_bytes, _promise()))


def _promise_us(shards: int) -> float:
    return shards * sum(map(message_seconds, _promise())) * MICRO


def _configuration(services: int) -> bytes:
    kinds = tuple(
        RequestKind(f"kind-{index}", idempotent=index > 0, timeout_seconds=2.0)
        for index in range(4)
    )
    zones = tuple(Zone(f"zone-{index}", "region", 3) for index in range(4))
    parts = tuple(
        Service(f"service-{index}", True, kinds, 3, 110, 12)
        for index in range(services)
    )
    hashes = ("0" * 64, "1" * 64)
    configuration = WorkspaceConfiguration(
        "workspace", 3, "a" * 32, zones, parts, hashes
    )
    return encode_configuration(configuration)


def _conf_bytes(services: int) -> float:
    return len(_configuration(services))


def _conf_us(services: int) -> float:
    body = _configuration(services)
    return processor_seconds(lambda: decode_configuration(body, "workspace")) * MICRO


def _host(index: int) -> Host:
    address = f"10.20.{index % 250}.{index // 250}"
    return Host(
        f"entry-host-{index:05}",
        HostRole.ENTRY,
        f"zone-{index % 15:02}",
        f"{address}:7001",
        operators_address=f"{address}:7002",
        callers_address=f"{address}:7000",
    )


def _beat() -> Heartbeat:
    claims = (LeadershipClaim(samples.SHARD, 7),)
    return Heartbeat(_host(3), 1 << 60, claims, ())


def _beat_bytes(hosts: int) -> float:
    return hosts * message_bytes(_beat())


def _beat_us(hosts: int) -> float:
    return hosts * message_seconds(_beat()) * MICRO


def _hosts_bytes(hosts: int) -> float:
    return len(msgspec.json.encode([_host(index) for index in range(hosts)]))
