"""A host that won a claim asks a witness to adopt the new epoch."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message
from balsamway.slices.shard_id import ShardId
from balsamway.slices.witness import Witness


@message("adopt-request")
@dataclass(frozen=True, slots=True)
class AdoptRequest:
    """A host that won a claim asks a witness to adopt the new epoch."""

    shard: ShardId
    epoch: int
    leader: Witness
    witness: Witness
