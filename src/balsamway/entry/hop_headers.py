"""Headers that concern one connection only."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

HOP_HEADERS = frozenset(
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


def end_to_end_headers(
    headers: Iterable[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Gives the headers that are passed on.

    Args:
        headers: All headers of a message.

    Returns:
        Those that neither concern one connection nor are named by the
        message as doing so, in their order.
    """
    found = list(headers)
    dropped = set(HOP_HEADERS)
    for name, value in found:
        if name.lower() == b"connection":
            dropped.update(part.strip().lower() for part in value.split(b","))
    dropped.discard(b"host")
    return [(name, value) for name, value in found if name.lower() not in dropped]
