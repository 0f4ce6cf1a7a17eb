"""Asks a peer to read an object of the store."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message


@message("store-read")
@dataclass(frozen=True, slots=True)
class StoreRead:
    """Asks a peer to read an object of the store."""

    name: str
