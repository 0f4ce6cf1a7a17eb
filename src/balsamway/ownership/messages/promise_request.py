"""A leader's request for a witness's promise."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message
from balsamway.slices.shard_id import ShardId
from balsamway.slices.witness import Witness


@message("promise-request")
@dataclass(frozen=True, slots=True)
class PromiseRequest:
    """Asks a witness to support no other leader for a limited time."""

    shard: ShardId
    epoch: int
    """The leader epoch."""
    leader: Witness
    witness: Witness
    """The incarnation of the witness that the record names."""
    duration_seconds: float
