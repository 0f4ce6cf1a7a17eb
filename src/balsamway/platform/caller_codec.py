"""Decode callers' requests in the form that the platform defines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.entry import EntryRequest
from balsamway.entry.hop_headers import end_to_end_headers
from balsamway.keyspace.key_record import KEY_COUNT
from balsamway.outcome import NotRun, Reason
from balsamway.platform import names

if TYPE_CHECKING:
    from aiohttp.http_parser import RawRequestMessage

    from balsamway.entry import BodyStream

_REPLACED_HEADERS = frozenset(
    {names.DEADLINE_HEADER.lower().encode(), names.TARGET_HEADER.lower().encode()}
)


class PlatformCallerCodec:
    """Decode requests with the platform's headers; implements `CallerCodec`.

    The headers that this host sets anew for each attempt are dropped.
    """

    def read_request(
        self, head: RawRequestMessage, body: bytes | BodyStream, arrived: float
    ) -> EntryRequest | NotRun:
        """Decode a request; see `CallerCodec.read_request`."""
        request_id = head.headers.get(names.REQUEST_ID_HEADER)
        if request_id is None:
            return NotRun(Reason.BAD_REQUEST, "the request has no id")
        return EntryRequest(
            request_id=request_id,
            method=head.method,
            host=head.headers.get("Host", ""),
            path=head.path,
            headers=tuple(
                (name, value)
                for name, value in end_to_end_headers(head.raw_headers)
                if name.lower() not in _REPLACED_HEADERS
            ),
            body=body,
            arrived_at=arrived,
            caller_timeout_seconds=_timeout_seconds(
                head.headers.get(names.DEADLINE_HEADER)
            ),
            key=_key(head.headers.get(names.SHARD_KEY_HEADER)),
        )


def _timeout_seconds(text: str | None) -> float | None:
    """Convert the milliseconds of the deadline header to seconds.

    Returns:
        The seconds, or None if the header is missing or not a number.
    """
    if text is None or not text.strip().isdecimal():
        return None
    return int(text) / 1000


def _key(text: str | None) -> int | None:
    """Parse the header with the key.

    Returns:
        The key, or None if the header is missing or not a valid key.
    """
    if text is None or not text.strip().isdecimal():
        return None
    key = int(text)
    return key if key < KEY_COUNT else None
