"""Odd entries of targets, as the directory and the log show them."""

from __future__ import annotations

import json
import logging

import pytest

from balsamway.discovery import TargetDirectory
from balsamway.node.directory_handler import DirectoryHandler
from balsamway.platform.target_decoder import decode_target
from balsamway.store.store import StoredObject

pytestmark = pytest.mark.looptime

NESTED = b"[" * 100_000 + b"]" * 100_000
EVENT = "target-entry-unreadable"


def body(sequence=1, port=80, **change):
    fields = {
        "service": "s",
        "address": f"10.0.0.1:{port}",
        "zone": "z",
        "capacity": 3,
        "state": "ready",
        "sequence": sequence,
    }
    return json.dumps(fields | change).encode()


@pytest.fixture
def directory():
    return TargetDirectory()


@pytest.fixture
def handler(directory):
    return DirectoryHandler(directory, decode_target)


@pytest.fixture
def logged(caplog):
    """Return a function that gives the names of the reported entries."""
    caplog.set_level(logging.INFO)
    return lambda: [
        record.target for record in caplog.records if record.message == EVENT
    ]


def names(directory):
    return sorted(entry.name for entry in directory.entries)


async def test_heartbeats_of_an_entry_out_of_range_are_logged_once(handler, logged):
    for sequence in range(100):
        stored = StoredObject("odd", sequence, body(sequence, port=99_999))
        handler.on_changed(stored)
    assert logged() == ["odd"]


async def test_snapshots_with_a_nested_entry_are_logged_once(
    handler, directory, logged
):
    objects = (StoredObject("odd", 1, NESTED), StoredObject("good", 2, body()))
    for _ in range(20):
        handler.on_snapshot(objects)
    assert logged() == ["odd"]
    assert names(directory) == ["good"]


async def test_an_entry_that_becomes_odd_in_another_way_is_logged_again(
    handler, logged
):
    handler.on_changed(StoredObject("odd", 1, NESTED))
    handler.on_changed(StoredObject("odd", 2, body(port=99_999)))
    handler.on_changed(StoredObject("odd", 3, body(port=99_998)))
    assert logged() == ["odd", "odd"]


@pytest.mark.parametrize("gap", ["good", "removed", "missing from a snapshot"])
async def test_an_odd_entry_that_returns_is_logged_again(handler, logged, gap):
    handler.on_changed(StoredObject("odd", 1, NESTED))
    match gap:
        case "good":
            handler.on_changed(StoredObject("odd", 2, body()))
        case "removed":
            handler.on_removed("odd")
        case _:
            handler.on_snapshot(())
    handler.on_changed(StoredObject("odd", 3, NESTED))
    assert logged() == ["odd", "odd"]


@pytest.mark.parametrize(
    "odd", [NESTED, body(port=99_999), body(capacity=2**70), b"", b"null"], ids=len
)
async def test_an_odd_entry_in_place_of_a_good_one_removes_it(handler, directory, odd):
    handler.on_snapshot(
        (StoredObject("a", 1, body()), StoredObject("b", 2, body(port=81)))
    )
    handler.on_changed(StoredObject("a", 3, odd))
    assert names(directory) == ["b"]
    handler.on_changed(StoredObject("a", 4, body()))
    assert names(directory) == ["a", "b"]
    handler.on_changed(StoredObject("a", 5, odd))
    handler.on_removed("a")
    assert names(directory) == ["b"]


async def test_an_odd_entry_right_after_an_outage_is_not_taken_for_a_missing_one(
    handler, directory
):
    handler.on_snapshot((StoredObject("a", 1, body()),))
    handler.on_store_recovered()
    handler.on_snapshot((StoredObject("a", 2, body(port=99_999)),))
    assert names(directory) == []
    handler.on_snapshot((StoredObject("a", 3, body()),))
    handler.on_changed(StoredObject("a", 4, NESTED))
    assert names(directory) == []
