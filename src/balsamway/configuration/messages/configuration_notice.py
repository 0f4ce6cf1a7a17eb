"""A configuration that the sender has adopted."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message


@message("configuration-notice")
@dataclass(frozen=True, slots=True)
class ConfigurationNotice:
    """A configuration that the sender has adopted."""

    workspace: str
    version: int
    body: bytes
    """The encoded configuration as stored."""
