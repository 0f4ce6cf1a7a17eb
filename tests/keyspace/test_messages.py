"""The size of the messages on load in a large deployment."""

from __future__ import annotations

from dataclasses import replace

import msgpack
import pytest

from balsamway.keyspace.key_map import LEADER_TIMEOUT_SECONDS
from balsamway.keyspace.load_aggregator import (
    IN_FLIGHT_EXPIRY_SECONDS,
    MAX_HOSTS_AT_FULL_RATE,
    REPORT_INTERVAL_SECONDS,
    report_interval_seconds,
)
from balsamway.keyspace.load_code import (
    LoadCode,
    decode_loads,
    digest_of_names,
    encode_loads,
)
from balsamway.keyspace.messages import (
    FleetNotice,
    KeyMapNotice,
    LoadNotice,
    ZoneLoadNotice,
)
from balsamway.node.load_reporter import NAMES_REPEAT_SECONDS
from balsamway.peers import codec

HOSTS, TARGETS = 76, 111
CONTROL_BYTES_PER_SECOND = 3000
"""The goal for what each host receives from the leader."""
NAMES = [f"i-{number:010x}" for number in range(TARGETS)]
FLEET = FleetNotice(
    3,
    "edge-bodega-central-1",
    "10.3.0.39:8649",
    HOSTS,
    digest_of_names(NAMES),
    (),
    encode_loads([LoadCode(4, 0.131)] * TARGETS),
)
FLEET_WITH_NAMES = replace(FLEET, names=tuple(NAMES))
ZONE_LOAD = ZoneLoadNotice(
    "edge-bodega-central-1",
    "bodega-central",
    {"edge-bodega-central-1": "10.3.0.39:8649"},
    (),
    {name: (1, 2, 1, 131) for name in NAMES},
    {"k": {7: 2, 40_000: 1}},
    {"k": (3, 50)},
)
LOAD = LoadNotice(
    "edge-bodega-central-1",
    "bodega-central",
    "10.3.0.39:8649",
    {name: (1, 2, 1, 131) for name in NAMES},
    {"k": {7: 2, 40_000: 1}},
    {"k": (3, 50)},
)
KEY_MAP = KeyMapNotice(
    3, 50, "k", (("i-0", 1), ("i-1", 1)), (9, 65_535), (0, 1), (True, False), (0, 50)
)


def encoded(message):
    return codec.encode(codec.Frame(0, False, message))


@pytest.mark.parametrize("message", [FLEET, FLEET_WITH_NAMES, LOAD, ZONE_LOAD, KEY_MAP])
def test_a_message_comes_back_as_it_was_sent(message):
    assert (
        codec.decode(msgpack.unpackb(encoded(message), strict_map_key=False)).message
        == message
    )


def test_the_largest_present_deployments_report_at_the_full_rate():
    assert (
        report_interval_seconds(1)
        == report_interval_seconds(MAX_HOSTS_AT_FULL_RATE)
        == REPORT_INTERVAL_SECONDS
    )


@pytest.mark.parametrize(("hosts", "targets"), [(HOSTS, TARGETS), (195, 271)])
def test_a_host_in_a_large_deployment_receives_no_more_than_the_goal(hosts, targets):
    names = tuple(f"i-{number:010x}" for number in range(targets))
    notice = replace(
        FLEET, hosts=hosts, loads=encode_loads([LoadCode(4, 0.131)] * targets)
    )
    names_bytes = len(encoded(replace(notice, names=names))) - len(encoded(notice))
    bytes_per_second = (
        len(encoded(notice)) / report_interval_seconds(hosts)
        + names_bytes / NAMES_REPEAT_SECONDS
    )
    assert bytes_per_second <= CONTROL_BYTES_PER_SECOND


@pytest.mark.parametrize("seconds", [None, 0.001, 0.07, 0.29, 1.2, 9.0])
@pytest.mark.parametrize("in_flight", [0, 3, 255, 4000])
def test_a_load_keeps_its_meaning_in_two_bytes(in_flight, seconds):
    encoded_load = encode_loads([LoadCode(in_flight, seconds)])
    assert len(encoded_load) == 2
    (decoded,) = decode_loads(encoded_load)
    assert decoded.in_flight == min(255, in_flight)
    if seconds is None:
        assert decoded.service_seconds is None
    else:
        assert decoded.service_seconds == pytest.approx(seconds, rel=0.03)


@pytest.mark.parametrize("hosts", [1, 12, 76, 1000])
def test_reports_are_used_until_the_next_one(hosts):
    assert report_interval_seconds(hosts) < IN_FLIGHT_EXPIRY_SECONDS
    assert report_interval_seconds(hosts) < LEADER_TIMEOUT_SECONDS
