"""Computes the summaries of workspaces from the stand-ins' journals."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from balsamway.slices import POSITION_END
from balsamway.standins.checker import Invariant, check
from balsamway.standins.journal import Journal, RunOutcome, ToldVerdict
from balsamway.standins.workspace_summary import WorkspaceSummary

if TYPE_CHECKING:
    from balsamway.standins.journal import GrantHeld, Told

MAX_LATENCY_US = 60_000_000
"""The highest latency that the histogram records."""
SIGNIFICANT_DIGITS = 3


def summarize(
    journal: Journal, since: float = 0.0, targets: dict[str, int] | None = None
) -> dict[str, WorkspaceSummary]:
    """Compute the summary of each workspace.

    Args:
        journal: The merged journal.
        since: The end of the start-up, as event loop time in seconds; grants
            that start earlier do not count as churn.
        targets: How many targets each `workspace/service` has, so that
            targets without runs count; None to count only targets with runs.

    Returns:
        The summaries by workspace name.
    """
    workspaces = sorted({told.workspace for told in journal.told})
    return {
        workspace: _summarize_workspace(
            _filter_workspace(journal, workspace), since, targets or {}
        )
        for workspace in workspaces
    }


def _filter_workspace(journal: Journal, workspace: str) -> Journal:
    return Journal(
        grants=tuple(
            held for held in journal.grants if held.shard.startswith(f"{workspace}/")
        ),
        runs=tuple(run for run in journal.runs if run.workspace == workspace),
        told=tuple(told for told in journal.told if told.workspace == workspace),
    )


def _summarize_workspace(
    journal: Journal, since: float, targets: dict[str, int]
) -> WorkspaceSummary:
    violations = [violation.invariant for violation in check(journal)]
    verdicts = [told.verdict for told in journal.told]
    p50, p99 = _percentiles_ms(journal.told)
    uncertain = (ToldVerdict.MAY_HAVE_RUN, ToldVerdict.NO_ANSWER)
    refused = (ToldVerdict.NOT_RUN, ToldVerdict.UNREACHED)
    return WorkspaceSummary(
        requests=len(verdicts),
        answered=verdicts.count(ToldVerdict.COMPLETED),
        refused_not_run=sum(verdict in refused for verdict in verdicts),
        may_have_run=sum(verdict in uncertain for verdict in verdicts),
        duplicate_runs=violations.count(Invariant.RUN_AT_MOST_ONCE),
        lost_runs=violations.count(Invariant.ANSWER_FROM_RUN),
        wrong_answers=violations.count(Invariant.ANSWER_WHOLE),
        owner_overlaps=violations.count(Invariant.SOLE_OWNER),
        imbalance=_imbalance(journal, targets),
        churn=_churn(journal.grants, since),
        unavailable_seconds=_unavailable_seconds(journal.told),
        p50_ms=p50,
        p99_ms=p99,
    )


def _percentiles_ms(records: tuple[Told, ...]) -> tuple[float, float]:
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for told in records:
        if told.verdict is ToldVerdict.COMPLETED:
            histogram.record_value(max(1, int((told.end - told.start) * 1e6)))
    return tuple(
        histogram.get_value_at_percentile(percentile) / 1000 for percentile in (50, 99)
    )


def _imbalance(journal: Journal, targets: dict[str, int]) -> float:
    busy: dict[str, dict[str, float]] = defaultdict(lambda: defaultdict(float))
    for run in journal.runs:
        if run.outcome is RunOutcome.APPLIED:
            service = f"{run.workspace}/{run.service}"
            busy[service][run.target] += run.end - run.start
    worst = 0.0
    for service, times in busy.items():
        count = max(targets.get(service, 0), len(times))
        mean = sum(times.values()) / count
        worst = max(worst, max(times.values()) / mean if mean else 0.0)
    return worst


def _churn(grants: tuple[GrantHeld, ...], since: float) -> float:
    by_shard: dict[str, list[GrantHeld]] = defaultdict(list)
    for held in sorted(grants, key=lambda held: held.start):
        by_shard[held.shard].append(held)
    moved = sum(_count_moved_positions(held, since) for held in by_shard.values())
    space = POSITION_END * len(by_shard)
    return moved / space if space else 0.0


def _count_moved_positions(grants: list[GrantHeld], since: float) -> int:
    moved = 0
    for number, held in enumerate(grants):
        if held.start < since:
            continue
        before = _find_previous_owners(grants[:number], held)
        moved += sum(size for target, size in before if target != held.target)
    return moved


def _find_previous_owners(
    earlier: list[GrantHeld], held: GrantHeld
) -> list[tuple[str, int]]:
    found = []
    gaps = [(held.range.start, held.range.end)]
    for previous in reversed(earlier):
        left = []
        for start, end in gaps:
            low, high = max(start, previous.range.start), min(end, previous.range.end)
            if low >= high:
                left.append((start, end))
                continue
            found.append((previous.target, high - low))
            left += [gap for gap in ((start, low), (high, end)) if gap[0] < gap[1]]
        gaps = left
        if not gaps:
            break
    return found


def _unavailable_seconds(records: tuple[Told, ...]) -> float:
    by_key: dict[tuple[str, str], list[Told]] = defaultdict(list)
    for told in records:
        by_key[(told.service, told.key)].append(told)
    return max((_longest_unavailability(told) for told in by_key.values()), default=0.0)


def _longest_unavailability(records: list[Told]) -> float:
    longest = 0.0
    failing_since: float | None = None
    for told in sorted(records, key=lambda told: told.start):
        if told.verdict is ToldVerdict.COMPLETED:
            failing_since = None
            continue
        if failing_since is None:
            failing_since = told.start
        longest = max(longest, told.end - failing_since)
    return longest
