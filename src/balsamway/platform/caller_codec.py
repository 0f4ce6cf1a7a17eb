"""Reads callers' requests as the platform's clients send them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.entry import EntryRequest
from balsamway.entry.hop_headers import end_to_end_headers
from balsamway.keyspace.key_record import KEY_COUNT
from balsamway.outcome import NotRun, Reason
from balsamway.platform import names

if TYPE_CHECKING:
    from aiohttp.http_parser import RawRequestMessage

_REPLACED = frozenset({names.DEADLINE.lower().encode(), names.TARGET.lower().encode()})


class PlatformCallerCodec:
    """Implements `CallerCodec` with the platform's header names."""

    def read_request(
        self, head: RawRequestMessage, body: bytes, arrived: float
    ) -> EntryRequest | NotRun:
        """Reads a request; see `CallerCodec`."""
        request_id = head.headers.get(names.REQUEST_ID)
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
                if name.lower() not in _REPLACED
            ),
            body=body,
            arrived_at=arrived,
            caller_timeout_seconds=_patience(head.headers.get(names.DEADLINE)),
            key=_key(head.headers.get(names.SHARD_KEY)),
        )


def _patience(text: str | None) -> float | None:
    if text is None or not text.strip().isdecimal():
        return None
    return int(text) / 1000


def _key(text: str | None) -> int | None:
    if text is None or not text.strip().isdecimal():
        return None
    key = int(text)
    return key if key < KEY_COUNT else None
