"""The interface of a request body that is read piece by piece."""

from __future__ import annotations

from typing import Protocol


class BodyBroken(Exception):
    """The rest of a body will not arrive."""

    is_sent = False
    """Whether a part of the request was written to a target."""


class BodyTooLarge(BodyBroken):
    """The body exceeds the limit for callers."""


class StreamedBody(Protocol):
    """A body that is read once, from its begin to its end."""

    @property
    def length(self) -> int | None:
        """The size in bytes, or None if it is not known yet."""
        ...

    async def read_chunk(self) -> bytes:
        """Wait for the next piece.

        Returns:
            The piece, or no bytes at the end.

        Raises:
            BodyBroken: If the body does not arrive to its end.
        """
        ...
