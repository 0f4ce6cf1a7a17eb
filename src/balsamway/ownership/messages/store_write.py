"""Asks a peer to carry out one conditional update of the store."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message


@message("store-write")
@dataclass(frozen=True, slots=True)
class StoreWrite:
    """Asks a peer to carry out one conditional update of the store."""

    name: str
    body: bytes
    expected_version: int | None
