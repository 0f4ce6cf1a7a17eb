"""Compares adoption with a simple model: the expected version ever seen.

Notices, digests and stored bodies arrive duplicated and out of order. If
adoption compared versions wrongly, a host would go back to an older version
or miss the expected one.
"""

from __future__ import annotations

import asyncio
import random

import looptime
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamway.configuration import WorkspaceConfiguration, Zone
from balsamway.configuration.codec import encode_configuration, encode_workspaces
from balsamway.configuration.configuration_service import ConfigurationService
from balsamway.configuration.constants import WORKSPACES_OBJECT
from balsamway.configuration.messages import (
    ConfigurationDigest,
    ConfigurationNotice,
    WorkspaceVersion,
)
from tests.fakes.configuration_network import ConfigurationNetwork
from tests.fakes.configuration_store import ConfigurationStore

ZONES = (Zone("z0", "r", 2), Zone("z1", "r", 1))
WORKSPACES = ("a", "b", "c")
CONVERGENCE_SECONDS = 5.0

events = st.lists(
    st.tuples(
        st.sampled_from(["notice", "digest", "stored"]),
        st.sampled_from(WORKSPACES),
        st.integers(1, 6),
        st.booleans(),
    ),
    max_size=20,
)


def encoded_configuration(workspace, version):
    return encode_configuration(
        WorkspaceConfiguration(workspace, version, f"c{version}", ZONES, (), ())
    )


async def play(script):
    network = ConfigurationNetwork()
    store = ConfigurationStore()
    store.put(WORKSPACES_OBJECT, encode_workspaces(WORKSPACES))
    services = []
    for host, zone in (("h0", "z0"), ("h1", "z0"), ("h2", "z1")):
        peers = network.add(host, zone)
        services.append(
            ConfigurationService(host, zone, store, peers, peers, random.Random(1))
        )
    outsider = network.add("z-guest", "z2")
    for service in services:
        await service.start()
    expected = {}
    last_versions = [{}, {}, {}]
    for kind, workspace, version, is_duplicated in script:
        for _ in range(1 + is_duplicated):
            match kind:
                case "notice":
                    notice = ConfigurationNotice(
                        workspace, version, encoded_configuration(workspace, version)
                    )
                    await outsider.call("h1", notice, 1.0)
                case "digest":
                    digest = ConfigurationDigest(
                        0, (WorkspaceVersion(workspace, version),)
                    )
                    await outsider.call("h0", digest, 1.0)
                case "stored":
                    store.put(
                        f"configuration/{workspace}",
                        encoded_configuration(workspace, version),
                    )
                    await asyncio.sleep(0.3)
        if kind != "digest":
            expected[workspace] = max(version, expected.get(workspace, 0))
        for index, service in enumerate(services):
            versions = service.versions()
            before = last_versions[index]
            assert all(versions[name] >= before[name] for name in before)
            last_versions[index] = versions
    await asyncio.sleep(CONVERGENCE_SECONDS)
    for service in services:
        assert service.versions() == expected
        await service.stop()


@given(events)
@settings(max_examples=60)
def test_adoption_agrees_with_the_greatest_version(script):
    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        runner.run(play(script))
