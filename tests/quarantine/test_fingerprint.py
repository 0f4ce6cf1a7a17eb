"""The fingerprint that a request shares with its retries."""

from __future__ import annotations

import pytest

from balsamway.entry import EntryRequest
from balsamway.quarantine import fingerprint


def request(request_id="r1", headers=(), timeout=1.0, **changes):
    fields = {"method": "GET", "host": "h", "path": "/a?b", "body": b"", "key": None}
    fields |= changes
    return EntryRequest(
        request_id,
        fields["method"],
        fields["host"],
        fields["path"],
        headers,
        fields["body"],
        0.0,
        timeout,
        fields["key"],
    )


def test_a_retry_has_the_same_fingerprint():
    retry = request("r2", ((b"Cookie", b"other"),), 0.5)
    assert fingerprint(retry) == fingerprint(request())


@pytest.mark.parametrize(
    "changes",
    [
        {"method": "POST"},
        {"host": "other"},
        {"path": "/a?c"},
        {"body": b"x"},
        {"key": 0},
        {"host": "h1:4", "path": "/a?b"},
        {"path": "/a?b0"},
    ],
)
def test_another_request_has_another_fingerprint(changes):
    assert fingerprint(request(**changes)) != fingerprint(request())


def test_content_does_not_move_between_parts():
    first = request(host="ab", path="/c")
    second = request(host="a", path="b/c")
    assert fingerprint(first) != fingerprint(second)
