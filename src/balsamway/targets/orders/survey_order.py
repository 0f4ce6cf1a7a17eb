"""Announce a leader epoch and query the grants of a target."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.slices import ShardId


@dataclass(frozen=True, slots=True)
class SurveyOrder:
    """Announce a leader epoch and query the grants of a target."""

    shard: ShardId
    leader_epoch: int
