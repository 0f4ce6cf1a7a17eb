"""Decoders of what anyone may have written return a result for all bytes."""

from __future__ import annotations

import asyncio
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamway.discovery import TargetEntry
from balsamway.keyspace.key_record import KeyRecord, decode_record
from balsamway.keyspace.lease_object import LEASE_KIND, LEASE_NAME, LeaseObject
from balsamway.keyspace.messages import KeyMapNotice
from balsamway.keyspace.stored_lease import StoredLease
from balsamway.node.messages import ObjectsChanged, StoreProgress
from balsamway.outcome import Malformed
from balsamway.peers.codec import Frame, encode
from balsamway.platform import wire_types as wire
from balsamway.platform.configuration_decoder import decode_routing
from balsamway.platform.page_decoder import decode_response
from balsamway.platform.target_decoder import decode_target
from balsamway.routing import RoutingConfiguration
from balsamway.store.batch import Batch
from balsamway.store.era import MAX_ERA, version_of
from balsamway.store.store import StoredObject
from tests.platform.test_decoders import CONFIGURATION, ENTRY

MAX_EXAMPLES = 150
LEASE = {"epoch": 4, "host": "a", "address": "10.0.0.1:1", "beat": 7, "era": 2}
RECORD = {
    "epoch": 4,
    "next_token": 9,
    "segments": [[0, 65535, "i", 1, 3, []]],
    "era": 2,
}
ODD_TEXTS = st.sampled_from(
    [
        "1e400",
        "-1",
        "1.5",
        "true",
        "null",
        "NaN",
        "Infinity",
        '""',
        '"\\ud800"',
        '"10.0.0.1:99999"',
        '"10.0.0.1:8\\u0663"',
        '"[::1]:80"',
        str(2**63),
        str(2**64),
        str(-(2**70)),
        "9" * 5_000,
        "[" * 3_000 + "]" * 3_000,
        '{"a":' * 3_000 + "1" + "}" * 3_000,
        "[",
        "]",
        "}",
        '"',
        "",
    ]
)


def leaves(document, path=()):
    """Return the paths of all values of a JSON document."""
    members = []
    if isinstance(document, dict):
        members = list(document.items())
    elif isinstance(document, list):
        members = list(enumerate(document))
    paths = [path] if path else []
    for key, value in members:
        paths += leaves(value, (*path, key))
    return paths


def with_odd_value(document, path, text):
    """Encode a document in which the value at a path is another text."""
    copy = json.loads(json.dumps(document))
    parent = copy
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = "@odd@"
    return json.dumps(copy).replace('"@odd@"', text).encode()


def bytes_like(document):
    """Return a strategy for any bytes, and for a document with odd values."""
    odd = st.builds(
        with_odd_value, st.just(document), st.sampled_from(leaves(document)), ODD_TEXTS
    )
    cut = st.builds(
        lambda body, begin, end: body[:begin] + body[-end:],
        odd,
        st.integers(0, 300),
        st.integers(1, 300),
    )
    return st.one_of(st.binary(), odd, cut)


def entry_item(name, revision):
    return {
        "metadata": {"name": name, "revision": revision, "finalizers": ["f"]},
        "spec": ENTRY,
        "status": {"a": 1},
    }


PAGE = {
    "items": [entry_item("a", 3), entry_item("b", 4)],
    "hasMore": False,
    "asOf": 9,
}
WATCH_PAGE = {
    "events": [
        {"removed": False, "object": entry_item("a", 3)},
        {"removed": True, "object": entry_item("b", 4)},
    ],
    "asOf": 9,
}


@settings(max_examples=MAX_EXAMPLES, deadline=None)
@given(bytes_like(ENTRY), st.one_of(st.just("i-1"), st.text()))
def test_any_entry_is_refused_or_fits_messages_and_headers(body, name):
    entry = decode_target(name, body)
    if isinstance(entry, Malformed):
        return
    assert isinstance(entry, TargetEntry)
    notice = KeyMapNotice(
        1, 1, entry.service, (entry.key,), (65_535,), (0,), (True,), (0,)
    )
    encode(Frame(0, False, notice))
    header = entry.name.encode("ascii")
    assert b"\r" not in header and b"\n" not in header
    ip, _, port = entry.address.encode("ascii").partition(b":")
    assert 0 < int(port) < 65_536
    assert entry.address == f"{ip.decode()}:{int(port)}"
    assert 0 < entry.capacity < 2**63


@settings(max_examples=MAX_EXAMPLES, deadline=None)
@given(bytes_like(CONFIGURATION))
def test_any_configuration_is_decoded_or_malformed(body):
    assert isinstance(decode_routing(body), RoutingConfiguration | Malformed)


@settings(max_examples=MAX_EXAMPLES, deadline=None)
@given(bytes_like(RECORD))
def test_any_key_record_is_malformed_or_fits_messages(body):
    record = decode_record(body)
    if isinstance(record, Malformed):
        return
    assert isinstance(record, KeyRecord)
    holders = tuple(
        (segment.owner.name, segment.owner.incarnation) for segment in record.segments
    )
    notice = KeyMapNotice(record.epoch, 1, "s", holders, (), (), (), ())
    encode(Frame(0, False, notice))


class OneObjectStore:
    """A store with nothing but the lease."""

    def __init__(self, body):
        self.body = body

    async def read(self, kind, name, allow_stale=False):
        assert (kind, name) == (LEASE_KIND, LEASE_NAME)
        return StoredObject(name, 5, self.body)


@settings(max_examples=MAX_EXAMPLES, deadline=None)
@given(bytes_like(LEASE))
def test_any_lease_has_a_version_and_fits_messages(body):
    stored = asyncio.run(LeaseObject(OneObjectStore(body)).read_stale())
    assert isinstance(stored, StoredLease)
    assert stored.version == 5
    encode(Frame(0, False, StoreProgress(0.0, stored, {})))


@pytest.mark.parametrize("era", [2**63, 2**70, -(2**70)])
def test_a_lease_whose_era_is_out_of_range_fits_messages(era):
    body = b'{"epoch":4,"host":"a","address":"a:1","beat":7,"era":%d}' % era
    stored = asyncio.run(LeaseObject(OneObjectStore(body)).read_stale())
    encode(Frame(0, False, StoreProgress(0.0, stored, {})))


@settings(max_examples=MAX_EXAMPLES, deadline=None)
@given(bytes_like(PAGE))
def test_any_page_is_malformed_or_fits_messages(body):
    page = asyncio.run(decode_response(body, wire.Page))
    if isinstance(page, Malformed):
        return
    objects = tuple(item.to_stored_object(MAX_ERA) for item in page.items)
    batch = Batch(0, version_of(MAX_ERA, page.revision), objects, ())
    encode(Frame(0, False, ObjectsChanged(1, "k", batch)))


@settings(max_examples=MAX_EXAMPLES, deadline=None)
@given(bytes_like(WATCH_PAGE))
def test_any_watch_page_is_malformed_or_fits_messages(body):
    page = asyncio.run(decode_response(body, wire.WatchPage))
    if isinstance(page, Malformed):
        return
    objects = tuple(event.object.to_stored_object(MAX_ERA) for event in page.events)
    batch = Batch(0, version_of(MAX_ERA, page.revision), objects, ())
    encode(Frame(0, False, ObjectsChanged(1, "k", batch)))


@settings(max_examples=MAX_EXAMPLES, deadline=None)
@given(bytes_like(PAGE["items"][0]))
def test_any_object_is_malformed_or_has_a_name(body):
    item = asyncio.run(decode_response(body, wire.Item))
    assert isinstance(item, Malformed) or item.metadata.name


def test_an_object_without_a_name_is_malformed():
    body = b'{"metadata":{"name":""},"spec":{}}'
    assert isinstance(asyncio.run(decode_response(body, wire.Item)), Malformed)
