"""A leader asks a witness to support no other claim for a time."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message
from balsamway.slices.shard_id import ShardId
from balsamway.slices.witness import Witness


@message("promise-request")
@dataclass(frozen=True, slots=True)
class PromiseRequest:
    """A leader asks a witness to support no other claim for a time."""

    shard: ShardId
    epoch: int
    leader: Witness
    witness: Witness
    """The run of the witness that the record names."""
    duration_seconds: float
