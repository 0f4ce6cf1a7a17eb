"""A request to a witness to adopt a leader epoch."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message
from balsamway.slices.shard_id import ShardId
from balsamway.slices.witness import Witness


@message("adopt-request")
@dataclass(frozen=True, slots=True)
class AdoptRequest:
    """Asks a witness to adopt the leader epoch of a claim that was won."""

    shard: ShardId
    epoch: int
    """The leader epoch to adopt."""
    leader: Witness
    """The host that won the claim."""
    witness: Witness
    """The incarnation of the witness that the record names."""
