"""A conditional write that a peer relays to the store."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message


@message("store-write")
@dataclass(frozen=True, slots=True)
class StoreWrite:
    """Asks a peer to make one conditional write to the store."""

    name: str
    body: bytes
    expected_version: int | None
    """The version that the object must have; None if it must not exist."""
