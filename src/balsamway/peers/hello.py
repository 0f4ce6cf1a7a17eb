"""The first message on a stream, which names the host that opened it."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message


@message("hello")
@dataclass(frozen=True, slots=True)
class Hello:
    """Names the entry host that opened the stream."""

    host: str
    incarnation: int
    protocol: int
    """The version of the protocol. Streams of another version are closed."""
