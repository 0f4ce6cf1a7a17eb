from __future__ import annotations

import pytest

from balsamway.discovery import TargetEntry
from balsamway.entry import EntryRequest


@pytest.fixture
def request_to():
    """Return a function that creates requests, each with an id of its own."""
    count = 0

    def create(path="/a/b", method="GET", host="h", body=b"", key=None):
        nonlocal count
        count += 1
        now = 0.0
        headers = ((b"Cookie", b"c=%d" % count),)
        return EntryRequest(
            f"r{count}", method, host, path, headers, body, now, None, key
        )

    return create


@pytest.fixture
def target():
    """Return a function that creates the entry of a target."""

    def create(name, incarnation=1):
        address = f"127.0.0.1:{name}"
        return TargetEntry(name, incarnation, "s", address, "z1", 3, False, 0.0)

    return create
