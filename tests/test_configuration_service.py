from __future__ import annotations

import asyncio
import random
from dataclasses import replace

import pytest

from balsamway.configuration import WorkspaceConfiguration, Zone
from balsamway.configuration.codec import encode_configuration, encode_workspaces
from balsamway.configuration.configuration_service import ConfigurationService
from balsamway.configuration.constants import WORKSPACES_OBJECT
from balsamway.configuration.messages import ConfigurationNotice
from balsamway.configuration.token_index import hash_token
from tests.fakes.configuration_network import ConfigurationNetwork
from tests.fakes.configuration_store import ConfigurationStore

pytestmark = pytest.mark.looptime

ADOPTION_SECONDS = 4.0
ZONES = ("z1", "z2", "z3")


def configuration(version, workspace="m", token="secret"):
    return WorkspaceConfiguration(
        workspace=workspace,
        version=version,
        change_id=f"change-{version}",
        zones=tuple(Zone(zone, "r", 3) for zone in ZONES),
        services=(),
        token_hashes=(hash_token(token),),
    )


class Deployment:
    """Services in three zones, each zone with its own copy of the store."""

    def __init__(self):
        self.network = ConfigurationNetwork()
        self.stores = {zone: ConfigurationStore() for zone in ZONES}
        self.services = {}

    def put(self, configuration):
        for store in self.stores.values():
            store.put(configuration.object_name, encode_configuration(configuration))
            store.put(WORKSPACES_OBJECT, encode_workspaces([configuration.workspace]))

    def make_unavailable(self, *zones):
        for zone in zones:
            self.stores[zone].is_down = True

    async def start(self, host, zone):
        peers = self.network.add(host, zone)
        service = ConfigurationService(
            host, zone, self.stores[zone], peers, peers, random.Random(host)
        )
        self.services[host] = service
        await service.start()
        return service

    async def start_all(self, per_zone=3):
        for zone in ZONES:
            for number in range(per_zone):
                await self.start(f"{zone}-{number}", zone)

    def versions_in_force(self, workspace="m"):
        return {
            service.versions().get(workspace, 0) for service in self.services.values()
        }


@pytest.fixture
async def deployment():
    deployment = Deployment()
    yield deployment
    for service in deployment.services.values():
        await service.stop()


async def test_an_accepted_version_comes_into_force_on_every_host(deployment):
    await deployment.start_all()
    deployment.put(configuration(1))
    await asyncio.sleep(ADOPTION_SECONDS)
    assert deployment.versions_in_force() == {1}
    deployment.put(configuration(2))
    await asyncio.sleep(ADOPTION_SECONDS)
    assert deployment.versions_in_force() == {2}


async def test_a_zone_without_the_store_adopts_from_peers(deployment):
    await deployment.start_all()
    deployment.make_unavailable("z2", "z3")
    deployment.put(configuration(1))
    await asyncio.sleep(ADOPTION_SECONDS)
    assert deployment.versions_in_force() == {1}


async def test_digests_replace_lost_notices(deployment):
    await deployment.start_all()
    deployment.make_unavailable("z2", "z3")
    deployment.network.loses_notices = True
    deployment.put(configuration(1))
    await asyncio.sleep(2 * ADOPTION_SECONDS)
    assert deployment.versions_in_force() == {1}


async def test_a_partitioned_zone_catches_up_after_the_partition(deployment):
    await deployment.start_all()
    partitioned = [f"z3-{number}" for number in range(3)]
    deployment.network.cut_between(
        partitioned, deployment.network.peers.keys() - set(partitioned)
    )
    deployment.make_unavailable("z3")
    deployment.put(configuration(1))
    await asyncio.sleep(30)
    assert deployment.versions_in_force() == {0, 1}
    deployment.network.cut.clear()
    await asyncio.sleep(ADOPTION_SECONDS)
    assert deployment.versions_in_force() == {1}


async def test_a_host_that_starts_without_the_store_adopts_from_peers(deployment):
    await deployment.start_all(per_zone=2)
    deployment.put(configuration(3))
    await asyncio.sleep(ADOPTION_SECONDS)
    deployment.make_unavailable(*ZONES)
    new_host = await deployment.start("z1-9", "z1")
    await asyncio.sleep(1)
    assert new_host.versions() == {"m": 3}


async def test_an_older_version_from_a_peer_is_not_adopted(deployment):
    service = await deployment.start("z1-0", "z1")
    peer = deployment.network.add("z1-1", "z1")
    deployment.put(configuration(5))
    await asyncio.sleep(1)
    for claimed in (4, 9):
        body = encode_configuration(configuration(4))
        await peer.call("z1-0", ConfigurationNotice("m", claimed, body), 1.0)
    assert service.versions() == {"m": 5}


async def test_a_stale_read_does_not_replace_a_newer_version(deployment):
    service = await deployment.start("z1-0", "z1")
    deployment.put(configuration(5))
    await asyncio.sleep(1)
    deployment.put(configuration(4))
    await asyncio.sleep(1)
    assert service.versions() == {"m": 5}


@pytest.mark.parametrize(
    "body",
    [b"", b"{", b"[]", b"\xff", encode_configuration(configuration(7, "other"))],
)
async def test_a_malformed_body_is_not_adopted(deployment, body):
    service = await deployment.start("z1-0", "z1")
    peer = deployment.network.add("z1-1", "z1")
    deployment.put(configuration(5))
    await asyncio.sleep(1)
    await peer.call("z1-0", ConfigurationNotice("m", 6, body), 1.0)
    deployment.stores["z1"].put("configuration/m", body)
    deployment.stores["z1"].put(WORKSPACES_OBJECT, body)
    await asyncio.sleep(1)
    assert service.versions() == {"m": 5}
    deployment.put(configuration(6))
    await asyncio.sleep(1)
    assert service.versions() == {"m": 6}


async def test_only_relays_watch_the_store(deployment):
    await deployment.start_all(per_zone=4)
    deployment.put(configuration(1))
    await asyncio.sleep(ADOPTION_SECONDS)
    relays = {
        host
        for host, service in deployment.services.items()
        if service.dump()["store"]["relay"]
    }
    assert relays == {f"{zone}-{number}" for zone in ZONES for number in (0, 1)}


async def test_the_next_host_becomes_relay_when_one_is_lost(deployment):
    await deployment.start_all()
    await asyncio.sleep(1)
    await deployment.services.pop("z1-0").stop()
    del deployment.network.peers["z1-0"]
    await asyncio.sleep(1)
    assert deployment.services["z1-2"].dump()["store"]["relay"]


async def test_a_token_finds_only_its_workspace(deployment):
    service = await deployment.start("z1-0", "z1")
    deployment.put(configuration(1))
    await asyncio.sleep(1)
    assert service.workspace_of_token("secret").workspace == "m"
    assert service.workspace_of_token("other") is None
    assert service.workspace_of_token("") is None
    deployment.put(replace(configuration(2), token_hashes=()))
    await asyncio.sleep(1)
    assert service.workspace_of_token("secret") is None


async def test_a_token_of_two_workspaces_finds_neither(deployment):
    service = await deployment.start("z1-0", "z1")
    for workspace in ("m", "n"):
        deployment.put(configuration(1, workspace))
        deployment.stores["z1"].put(WORKSPACES_OBJECT, encode_workspaces(["m", "n"]))
    await asyncio.sleep(1)
    assert service.versions() == {"m": 1, "n": 1}
    assert service.workspace_of_token("secret") is None


async def test_the_dump_contains_no_token_hash(deployment):
    service = await deployment.start("z1-0", "z1")
    deployment.put(configuration(1))
    await asyncio.sleep(1)
    assert hash_token("secret") not in str(service.dump())
