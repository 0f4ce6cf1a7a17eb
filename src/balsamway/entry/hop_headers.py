"""Hop-by-hop headers, which are not passed on."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


def end_to_end(
    headers: Iterable[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a message that are passed on.

    Args:
        headers: All headers of the message.

    Returns:
        The headers, in order, that are neither hop-by-hop nor listed in the
        message's Connection header.
    """
    all_headers = list(headers)
    dropped = set(HOP_BY_HOP_HEADERS)
    for name, value in all_headers:
        if name.lower() == b"connection":
            dropped.update(part.strip().lower() for part in value.split(b","))
    dropped.discard(b"host")
    return [(name, value) for name, value in all_headers if name.lower() not in dropped]
