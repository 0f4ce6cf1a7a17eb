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
from balsamway.keyspace.messages import FleetNotice, KeyMapNotice, LoadNotice
from balsamway.node.load_reporter import LIMITS_TURNS
from balsamway.peers import codec

HOSTS, TARGETS = 76, 111
CONTROL_BYTES_PER_SECOND = 3000
"""The goal for what each host receives from the leader."""
NAMES = [f"i-{number:010x}" for number in range(TARGETS)]
FLEET = FleetNotice(
    3, "edge-bodega-central-1", "10.3.0.39:8649", HOSTS, {n: (4, 131) for n in NAMES}
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


@pytest.mark.parametrize(
    "message",
    [
        FLEET,
        LOAD,
        KEY_MAP,
        replace(FLEET, leaving={"i-1": (2, 350)}),
        replace(LOAD, leaving={"i-1": (2, 350)}),
        replace(FLEET, rooms={"k": (4.85, True)}),
        replace(LOAD, rooms={"k": (4.85, False)}),
    ],
)
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


def test_a_limit_adds_little_to_the_messages_of_a_large_deployment():
    limits = dict.fromkeys(
        NAMES[: TARGETS // LIMITS_TURNS], (1_775_923_530_046, 6.25, 350)
    )
    with_limits = replace(FLEET, limits=limits)
    assert (len(encoded(with_limits)) - len(encoded(FLEET))) / report_interval_seconds(
        HOSTS
    ) <= 0.25 * CONTROL_BYTES_PER_SECOND


def test_leaving_targets_add_little_to_the_messages_of_a_large_deployment():
    leaving = dict.fromkeys(NAMES[: TARGETS // 10], (1_775_923_530_046, 1350))
    with_leaving = replace(FLEET, leaving=leaving)
    added = len(encoded(with_leaving)) - len(encoded(FLEET))
    assert added / report_interval_seconds(HOSTS) <= 0.15 * CONTROL_BYTES_PER_SECOND


@pytest.mark.parametrize("message", [FLEET, LOAD])
def test_a_message_of_an_older_build_names_no_leaving_targets(message):
    parts = msgpack.unpackb(encoded(message), strict_map_key=False)
    del parts[3]["leaving"]
    assert codec.decode(parts).message.leaving == {}


def test_a_host_in_a_large_deployment_receives_no_more_than_the_goal():
    assert (
        len(encoded(FLEET)) / report_interval_seconds(HOSTS) <= CONTROL_BYTES_PER_SECOND
    )


@pytest.mark.parametrize("hosts", [1, 12, 76, 1000])
def test_reports_are_used_until_the_next_one(hosts):
    assert report_interval_seconds(hosts) < IN_FLIGHT_EXPIRY_SECONDS
    assert report_interval_seconds(hosts) < LEADER_TIMEOUT_SECONDS
