"""Entry hosts with callers and targets over sockets, and a store in memory."""

from __future__ import annotations

import asyncio
import json
import urllib.error
import urllib.request

import pytest
from prometheus_client import CollectorRegistry

from balsamway.keyspace.lease_object import LEASE_KIND, LEASE_NAME
from balsamway.keyspace.record_writer import KEY_RECORD_KIND
from balsamway.node.entry_node import EntryNode
from balsamway.node.node_settings import Bounds, NodeSettings
from balsamway.node.platform_adapters import PlatformAdapters
from balsamway.platform import names
from balsamway.platform.caller_codec import PlatformCallerCodec
from balsamway.platform.configuration_decoder import decode_routing
from balsamway.platform.target_control import PlatformTargetControl
from balsamway.platform.target_decoder import decode_target
from balsamway.platform.target_transport import PlatformTargetTransport
from tests.fakes.memory_store import MemoryStore
from tests.fakes.scripted_target import ScriptedTarget, answer, read_answer
from tests.process_deployment import free_ports

CONFIGURATION = {
    "version": 3,
    "services": [
        {"name": "keyed", "maxConnections": 50, "sharded": True},
        {"name": "plain", "maxConnections": 50},
    ],
    "hosts": [
        {
            "host": "h.example",
            "paths": [
                {
                    "name": "k",
                    "pathPrefix": "/k/",
                    "routeType": "safe",
                    "timeoutMs": 2000,
                    "service": "keyed",
                    "maxAttempts": 2,
                },
                {
                    "name": "p",
                    "pathPrefix": "/p/",
                    "routeType": "unsafe",
                    "timeoutMs": 2000,
                    "service": "plain",
                },
            ],
        }
    ],
}


class FakeTarget:
    """A target that accepts every grant and release of keys."""

    def __init__(self, name, service, zone="z1"):
        self.name, self.service, self.zone = name, service, zone
        self.granted = []
        self.executed = []
        self.server = ScriptedTarget(self.script)

    async def script(self, received, writer, number):
        if received.path == "/grant":
            order = json.loads(received.body)
            self.granted.append((order["from"], order["to"]))
            writer.write(answer(None, b"", 200, None))
        elif received.path == "/release":
            order = json.loads(received.body)
            released = (order["from"], order["to"])
            self.granted = [keys for keys in self.granted if keys != released]
            extra = "Balsamway-Handover: h1"
            writer.write(answer(None, b"", 200, None, extra))
        else:
            self.executed.append(received)
            request_id = received.headers["balsamway-request-id"]
            writer.write(answer(request_id, self.name.encode()))

    def owns(self, key):
        return any(first <= key <= last for first, last in self.granted)

    def entry(self, state="ready"):
        return json.dumps(
            {
                "service": self.service,
                "address": self.server.address,
                "zone": self.zone,
                "version": "v1",
                "capacity": 3,
                "state": state,
                "warmupLeftMs": 0,
                "sequence": 1,
                "born": 1700000000000,
            }
        ).encode()


class StoreWithHangingWrites:
    """A store that stops answering writes once `is_hanging` is set."""

    def __init__(self, store):
        self.store = store
        self.is_hanging = False

    def __getattr__(self, name):
        return getattr(self.store, name)

    async def write(self, *args):
        if self.is_hanging:
            await asyncio.sleep(30)
        return await self.store.write(*args)


class Deployment:
    """Entry hosts and targets that share one store."""

    def __init__(self):
        self.store = MemoryStore()
        self.targets = {}
        self.nodes = {}

    async def add_target(self, name, service, zone="z1"):
        target = self.targets[name] = FakeTarget(name, service, zone)
        await target.server.start()
        self.store.put("servers", name, target.entry())
        return target

    async def add_node(self, name, seeds=(), store=None, evacuate_seconds=None):
        ports = free_ports(5)
        addresses = [f"127.0.0.1:{port}" for port in ports]
        settings = NodeSettings(
            name,
            "z1",
            *addresses[:4],
            "-",
            addresses[4],
            seeds,
            Bounds(grace_seconds=2, evacuate_seconds=evacuate_seconds),
        )
        registry = CollectorRegistry()
        node = EntryNode(
            settings,
            PlatformAdapters(
                store or self.store,
                PlatformCallerCodec(),
                PlatformTargetTransport(),
                PlatformTargetControl(),
                names.READINESS_PATH,
                names.CONFIGURATION_KIND,
                names.CONFIGURATION_NAME,
                names.TARGETS_KIND,
                names.EVACUATIONS_KIND,
                decode_routing,
                decode_target,
            ),
            registry,
        )
        self.nodes[name] = (node, settings)
        await node.start()
        return node, settings

    async def stop(self):
        for node, _ in self.nodes.values():
            await node.stop()
        for target in self.targets.values():
            await target.server.stop()


@pytest.fixture
async def deployment():
    deployment = Deployment()
    deployment.store.put("config", "main", json.dumps(CONFIGURATION).encode())
    yield deployment
    await deployment.stop()


async def wait_until(is_done, seconds=8.0):
    for _ in range(int(seconds / 0.02)):
        if is_done():
            return
        await asyncio.sleep(0.02)
    raise AssertionError("the condition did not hold in time")


async def send_request(settings, path, key=None, request_id="r1"):
    ip, port = settings.callers_address.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    extra = f"Balsamway-Shard-Key: {key}\r\n" if key is not None else ""
    writer.write(
        f"GET {path} HTTP/1.1\r\nHost: h.example\r\n{extra}"
        f"Balsamway-Request-Id: {request_id}\r\n\r\n".encode()
    )
    response = await read_answer(reader)
    writer.close()
    return response


async def fetch(address, path):
    def get():
        try:
            with urllib.request.urlopen(
                f"http://{address}{path}", timeout=5
            ) as response:
                return response.status, response.read().decode()
        except urllib.error.HTTPError as error:
            return error.code, ""

    return await asyncio.to_thread(get)


async def test_requests_reach_targets_and_owners_of_their_keys(deployment):
    first = await deployment.add_target("i-1", "keyed")
    second = await deployment.add_target("i-2", "keyed")
    plain = await deployment.add_target("i-3", "plain")
    node, settings = await deployment.add_node("n1")
    await wait_until(node.is_ready)
    assert (await send_request(settings, "/p/x"))[2] == b"i-3"
    await wait_until(lambda: first.granted and second.granted)
    for key in (5, 60_000):
        owner = first if first.owns(key) else second
        status, _, body = await send_request(settings, "/k/x", key)
        assert (status, body) == (200, owner.name.encode())
    assert (await send_request(settings, "/none/"))[0] == 404
    assert len(plain.executed) == 1


async def test_two_hosts_agree_on_owner_and_leader(deployment):
    first = await deployment.add_target("i-1", "keyed")
    second = await deployment.add_target("i-2", "keyed")
    _, first_settings = await deployment.add_node("n1")
    _, second_settings = await deployment.add_node("n2")
    await wait_until(lambda: first.granted and second.granted)
    key_maps = [node.key_map for node, _ in deployment.nodes.values()]
    await wait_until(
        lambda: all(key_map.find_owner("keyed", 5) for key_map in key_maps)
    )
    await wait_until(
        lambda: all(key_map.find_owner("keyed", 5).has_accepted for key_map in key_maps)
    )
    assert len({key_map.find_owner("keyed", 5).name for key_map in key_maps}) == 1
    for settings in (first_settings, second_settings):
        assert (await send_request(settings, "/k/x", 5))[0] == 200
    epochs = [node.lease.epoch for node, _ in deployment.nodes.values()]
    assert epochs.count(None) == 1


async def test_draining_target_hands_its_keys_over_and_gets_no_requests(deployment):
    draining = await deployment.add_target("i-1", "keyed")
    successor = await deployment.add_target("i-2", "keyed")
    _, settings = await deployment.add_node("n1")
    await wait_until(lambda: draining.granted and successor.granted)
    deployment.store.put("servers", "i-1", draining.entry("draining"))
    await wait_until(lambda: not draining.granted)
    await wait_until(lambda: successor.owns(5) and successor.owns(60_000))
    await asyncio.sleep(0.1)
    for key in (5, 60_000):
        assert (await send_request(settings, "/k/x", key))[2] == b"i-2"


async def test_an_evacuated_zone_gets_no_requests_and_its_keys_move(deployment):
    """Every host learns of the entry, also one that the store refuses."""
    evacuated = await deployment.add_target("i-1", "keyed", "z1")
    successor = await deployment.add_target("i-2", "keyed", "z2")
    await deployment.add_target("i-3", "plain", "z1")
    await deployment.add_target("i-4", "plain", "z2")
    leader, first = await deployment.add_node("n1", evacuate_seconds=5.0)
    _, second = await deployment.add_node("n2", evacuate_seconds=5.0)
    _, third = await deployment.add_node(
        "n3",
        (first.peers_address, second.peers_address),
        MemoryStore(down=True),
        evacuate_seconds=5.0,
    )
    nodes = [node for node, _ in deployment.nodes.values()]
    await wait_until(lambda: all(node.is_ready() for node in nodes))
    await wait_until(lambda: evacuated.granted and successor.granted)
    deployment.store.put("evacuations", "z1", b"any value")
    await wait_until(lambda: not evacuated.granted, 5.0)
    await wait_until(lambda: all(n.evacuated_zones.zones == ("z1",) for n in nodes))
    await wait_until(lambda: successor.owns(5) and successor.owns(60_000))
    await asyncio.sleep(0.1)
    for settings in (first, second, third):
        assert (await send_request(settings, "/k/x", 5))[2] == b"i-2"
        assert (await send_request(settings, "/p/x"))[2] == b"i-4"
    _, text = await fetch(first.metrics_address, "/metrics")
    assert "balsamway_entry_evacuated_zones 1.0" in text
    _, text = await fetch(first.operators_address, "/state")
    assert list(json.loads(text)["evacuations"]["zones"]) == ["z1"]
    deployment.store.put("evacuations", "z2", b"")
    await wait_until(lambda: len(leader.evacuated_zones.zones) == 2)
    status, headers, _ = await send_request(first, "/p/x")
    assert (status, "retry-after" in headers) == (503, True)
    deployment.store.delete("evacuations", "z1")
    await wait_until(lambda: all(n.evacuated_zones.zones == ("z2",) for n in nodes))
    for settings in (first, second, third):
        assert (await send_request(settings, "/p/x"))[2] == b"i-3"


async def test_a_deployment_without_evacuations_makes_no_call_for_them(deployment):
    await deployment.add_target("i-3", "plain")
    kinds = []
    for operation in ("list", "watch"):
        call = getattr(deployment.store, operation)

        def record(kind, *args, call=call):
            kinds.append(kind)
            return call(kind, *args)

        setattr(deployment.store, operation, record)
    node, settings = await deployment.add_node("n1")
    deployment.store.put("evacuations", "z1", b"")
    await wait_until(node.is_ready)
    await asyncio.sleep(0.5)
    assert set(kinds) == {"config", "servers"}
    assert (await send_request(settings, "/p/x"))[0] == 200


async def test_host_that_the_store_refuses_copies_objects_from_peers(deployment):
    await deployment.add_target("i-3", "plain")
    node, settings = await deployment.add_node("n1")
    await wait_until(node.is_ready)
    refusing_store = MemoryStore(down=True)
    refused_node, refused_settings = await deployment.add_node(
        "n2", (settings.peers_address,), refusing_store
    )
    await wait_until(refused_node.is_ready)
    assert (await send_request(refused_settings, "/p/x"))[2] == b"i-3"


async def test_host_without_configuration_is_not_ready(deployment):
    deployment.store.delete("config", "main")
    _, settings = await deployment.add_node("n1")
    assert (await fetch(settings.readiness_address, "/readiness"))[0] == 503
    assert (await send_request(settings, "/p/x"))[0] == 503


async def test_draining_host_is_not_ready_and_stops_in_time(deployment):
    await deployment.add_target("i-3", "plain")
    node, settings = await deployment.add_node("n1")
    await wait_until(node.is_ready)
    assert (await fetch(settings.readiness_address, "/readiness"))[0] == 200
    draining = asyncio.create_task(node.drain())
    await asyncio.sleep(0.05)
    assert (await fetch(settings.readiness_address, "/readiness"))[0] == 503
    status, headers, _ = await send_request(settings, "/p/x")
    assert (status, headers["connection"]) == (200, "close")
    await asyncio.wait_for(draining, 2)


async def test_leader_stops_in_time_while_the_store_does_not_answer(deployment):
    """Guards against draining only after the resignation was stored.

    The store may leave the write of the resignation without an answer until
    the host has to stop, so both must run at the same time.
    """
    await deployment.add_target("i-3", "plain")
    store = StoreWithHangingWrites(deployment.store)
    node, settings = await deployment.add_node("n1", store=store)
    await wait_until(lambda: node.lease.epoch is not None)
    await wait_until(node.is_ready)
    store.is_hanging = True
    draining = asyncio.create_task(node.drain())
    await asyncio.sleep(0.05)
    status, headers, _ = await send_request(settings, "/p/x")
    assert (status, headers["connection"]) == (200, "close")
    assert node.lease.epoch is None
    await asyncio.wait_for(draining, 2)


async def test_metrics_and_state_dump_are_served(deployment):
    await deployment.add_target("i-3", "plain")
    node, settings = await deployment.add_node("n1")
    await wait_until(node.is_ready)
    await send_request(settings, "/p/x")
    for address in (settings.metrics_address, settings.operators_address):
        status, text = await fetch(address, "/metrics")
        assert status == 200
        assert 'balsamway_entry_requests_total{outcome="completed"' in text
        assert "balsamway_entry_configuration_version 3.0" in text
    status, text = await fetch(settings.operators_address, "/state")
    assert json.loads(text)["forwarding"]["version"] == 3


ODD_BODIES = {
    "nested": b"[" * 100_000 + b"]" * 100_000,
    "nested field": b'{"x":' * 100_000 + b"1" + b"}" * 100_000,
    "number too large": b'{"service":"plain","address":"127.0.0.1:9","zone":"z1",'
    b'"capacity":%d,"state":"ready","sequence":1,"born":%d}' % (2**70, 2**70),
    "port out of range": b'{"service":"plain","address":"127.0.0.1:99999",'
    b'"zone":"z1","capacity":3,"state":"ready","sequence":1}',
}


@pytest.mark.parametrize("odd", ODD_BODIES.values(), ids=ODD_BODIES)
async def test_one_nested_or_out_of_range_entry_leaves_the_hosts_at_work(
    deployment, odd
):
    store = deployment.store
    good = await deployment.add_target("i-1", "plain")
    replaced = await deployment.add_target("i-2", "plain")
    store.put("servers", "odd", odd)
    leader, first = await deployment.add_node("n1")
    follower, second = await deployment.add_node("n2", (first.peers_address,))
    cut_off, third = await deployment.add_node(
        "n3", (first.peers_address, second.peers_address), MemoryStore(down=True)
    )
    nodes = (leader, follower, cut_off)
    await wait_until(lambda: all(node.is_ready() for node in nodes))
    names_of = [node.directory for node in nodes]
    await wait_until(
        lambda: all(
            sorted(entry.name for entry in directory.entries) == ["i-1", "i-2"]
            for directory in names_of
        )
    )
    store.put("servers", "i-2", odd)
    await wait_until(
        lambda: all(
            [entry.name for entry in directory.entries] == ["i-1"]
            for directory in names_of
        )
    )
    replaced.executed.clear()
    for settings in (first, second, third):
        assert (await send_request(settings, "/p/x"))[2] == b"i-1"
    store.put("servers", "i-2", replaced.entry())
    store.delete("servers", "odd")
    await wait_until(
        lambda: all(len(list(directory.entries)) == 2 for directory in names_of)
    )
    assert replaced.executed == []
    assert len(good.executed) == 3
    assert not any(node.crashed for node in nodes)


@pytest.mark.parametrize("odd", ODD_BODIES.values(), ids=ODD_BODIES)
@pytest.mark.parametrize(
    ("kind", "name"),
    [("config", "main"), (LEASE_KIND, LEASE_NAME), (KEY_RECORD_KIND, "keyed")],
)
async def test_a_nested_configuration_lease_or_record_ends_no_host(
    deployment, kind, name, odd
):
    await deployment.add_target("i-1", "plain")
    keyed = await deployment.add_target("i-2", "keyed")
    first_node, first = await deployment.add_node("n1")
    second_node, second = await deployment.add_node("n2", (first.peers_address,))
    await wait_until(lambda: first_node.is_ready() and second_node.is_ready())
    await wait_until(lambda: keyed.granted)
    deployment.store.put(kind, name, odd)
    await asyncio.sleep(1.5)
    for settings in (first, second):
        assert (await send_request(settings, "/p/x"))[0] == 200
    assert not first_node.crashed
    assert not second_node.crashed


async def test_request_that_ends_targets_is_not_sent_to_all_of_them(deployment):
    """Guards against passing a deadly request on for as long as it is sent."""
    nodes = [await deployment.add_node(name) for name in ("n1", "n2")]
    ended = []

    def end_at_deadly_request(target):
        execute = target.server.script

        async def script(received, writer, number):
            if received.path == "/p/deadly":
                ended.append(target.name)
                await target.server.stop()
                return
            await execute(received, writer, number)

        target.server.script = script

    for index in range(6):
        target = await deployment.add_target(f"i-{index}", "plain")
        end_at_deadly_request(target)
    for node, _ in nodes:
        await wait_until(node.is_ready)
        await wait_until(lambda node=node: len(node.targets.usable("plain")) == 6)
    await wait_until(lambda: any(node.lease.epoch for node, _ in nodes))
    # The leader passes reports on to the hosts that have reported their load.
    await wait_until(lambda: all(node._reporter.host_count == 2 for node, _ in nodes))
    statuses = []
    for index in range(6):
        _, settings = nodes[index % 2]
        response = await send_request(settings, "/p/deadly", request_id=f"d{index}")
        statuses.append(response[0])
        await asyncio.sleep(0.2)
    assert len(ended) == 2
    assert statuses == [502, 502, 503, 503, 503, 503]
    for _, settings in nodes:
        assert (await send_request(settings, "/p/innocent"))[0] == 200
