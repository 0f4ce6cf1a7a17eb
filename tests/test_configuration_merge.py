"""Adoption against a naive version: the greatest version of each member."""

from __future__ import annotations

import asyncio
import random

import looptime
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamway.configuration import MemberConfiguration, Zone
from balsamway.configuration.codec import encode_configuration, encode_members
from balsamway.configuration.configuration_service import ConfigurationService
from balsamway.configuration.constants import MEMBERS_OBJECT
from balsamway.configuration.messages import (
    ConfigurationDigest,
    ConfigurationNotice,
    MemberVersion,
)
from tests.fakes.configuration_network import ConfigurationNetwork
from tests.fakes.configuration_store import ConfigurationStore

ZONES = (Zone("z0", "r", 2), Zone("z1", "r", 1))
MEMBERS = ("a", "b", "c")
QUIET_SECONDS = 5.0

events = st.lists(
    st.tuples(
        st.sampled_from(["notice", "digest", "stored"]),
        st.sampled_from(MEMBERS),
        st.integers(1, 6),
        st.booleans(),
    ),
    max_size=20,
)


def body_of(member, version):
    return encode_configuration(
        MemberConfiguration(member, version, f"c{version}", ZONES, (), ())
    )


async def play(script):
    network = ConfigurationNetwork()
    store = ConfigurationStore()
    store.put(MEMBERS_OBJECT, encode_members(MEMBERS))
    services = []
    for host, zone in (("h0", "z0"), ("h1", "z0"), ("h2", "z1")):
        peers = network.add(host, zone)
        services.append(
            ConfigurationService(host, zone, store, peers, peers, random.Random(1))
        )
    guest = network.add("z-guest", "z2")
    for service in services:
        await service.start()
    highest = {}
    seen = [{}, {}, {}]
    for kind, member, version, doubled in script:
        for _ in range(1 + doubled):
            match kind:
                case "notice":
                    notice = ConfigurationNotice(
                        member, version, body_of(member, version)
                    )
                    await guest.call("h1", notice, 1.0)
                case "digest":
                    digest = ConfigurationDigest(0, (MemberVersion(member, version),))
                    await guest.call("h0", digest, 1.0)
                case "stored":
                    store.put(f"configuration/{member}", body_of(member, version))
                    await asyncio.sleep(0.3)
        if kind != "digest":
            highest[member] = max(version, highest.get(member, 0))
        for index, service in enumerate(services):
            versions = service.versions()
            before = seen[index]
            assert all(versions[name] >= before[name] for name in before)
            seen[index] = versions
    await asyncio.sleep(QUIET_SECONDS)
    for service in services:
        assert service.versions() == highest
        await service.stop()


@given(events)
@settings(max_examples=60)
def test_adoption_agrees_with_the_greatest_version(script):
    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        runner.run(play(script))
