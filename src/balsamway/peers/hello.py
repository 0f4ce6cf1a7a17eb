"""The first message on a stream: who opened it."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message


@message("hello")
@dataclass(frozen=True, slots=True)
class Hello:
    """Names the entry host that opened a stream."""

    host: str
    incarnation: int
    protocol: int
    """The version of the messages; streams of another one are closed."""
