"""The measures of one workspace."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorkspaceSummary:
    """What one workspace's callers and targets saw."""

    requests: int
    answered: int
    refused_not_run: int
    may_have_run: int
    duplicate_runs: int
    lost_runs: int
    wrong_answers: int
    owner_overlaps: int
    imbalance: float
    """The greatest busy time of a target over the mean, by service; the
    worst service counts."""
    churn: float
    """The share of the key space that changed its owner."""
    unavailable_seconds: float
    """The longest time over which no request of some key completed, from the
    first request that failed to the end of the last."""
    p50_ms: float
    p99_ms: float
