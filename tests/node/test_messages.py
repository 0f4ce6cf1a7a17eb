from __future__ import annotations

import msgpack
import pytest

from balsamway.keyspace.stored_lease import Lease, StoredLease
from balsamway.node.messages import (
    ObjectsAnswer,
    ObjectsChanged,
    ObjectsQuery,
    StoreProgress,
)
from balsamway.peers import codec
from balsamway.store.batch import Batch
from balsamway.store.store import StoredObject

STORED_OBJECT = StoredObject("i-1", 7, b'{"a":"\xff"}')


@pytest.mark.parametrize(
    "message",
    [
        ObjectsQuery({"targets": 3}),
        ObjectsAnswer(
            {"targets": 7}, {"targets": (STORED_OBJECT,)}, (2, "a", "a:1"), {"b": "b:1"}
        ),
        ObjectsAnswer({}, {}, None, {}),
        ObjectsChanged(2, "targets", Batch(3, 7, (STORED_OBJECT,), ("i-2",))),
        StoreProgress(
            1.5, StoredLease(9, Lease(2, "a", "a:1", 4)), {"targets": (3, 7, 0.2)}
        ),
    ],
)
def test_message_survives_encoding_and_decoding(message):
    encoded = codec.encode(codec.Frame(0, False, message))
    assert codec.decode(msgpack.unpackb(encoded)).message == message
