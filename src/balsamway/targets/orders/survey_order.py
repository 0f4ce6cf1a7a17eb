"""Announces a leader epoch and asks for the grants that a target holds."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.slices import ShardId


@dataclass(frozen=True, slots=True)
class SurveyOrder:
    """Announces a leader epoch and asks for the grants that a target holds."""

    shard: ShardId
    leader_epoch: int
