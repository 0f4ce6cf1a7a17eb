"""The response to a message that a host cannot handle."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message


@message("unhandled")
@dataclass(frozen=True, slots=True)
class Unhandled:
    """The host has no handler for the message, or the handler failed."""

    reason: str
