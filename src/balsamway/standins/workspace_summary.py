"""The summary of one workspace."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorkspaceSummary:
    """Counts and measures of one workspace's callers and targets."""

    requests: int
    answered: int
    refused_not_run: int
    may_have_run: int
    duplicate_runs: int
    lost_runs: int
    wrong_answers: int
    owner_overlaps: int
    imbalance: float
    """The longest busy time of a target divided by the mean of its service;
    the highest of all services.
    """
    churn: float
    """The fraction of the hash positions that changed their owner. Each change
    counts, so it can exceed 1.
    """
    unavailable_seconds: float
    """The longest time over which no request of some key completed, from the
    start of the first failed request to the end of the last one.
    """
    p50_ms: float
    p99_ms: float
