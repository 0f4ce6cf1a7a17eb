"""A read that a peer relays to the store."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message


@message("store-read")
@dataclass(frozen=True, slots=True)
class StoreRead:
    """Asks a peer to read an object from the store."""

    name: str
