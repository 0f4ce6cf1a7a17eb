"""Renders a demonstration's result as tables for non-technical readers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rich.table import Table

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamway.demo.demo_result import DemoResult
    from balsamway.standins.workspace_summary import WorkspaceSummary


def workspace_table(result: DemoResult) -> Table:
    """Return a table of each workspace's measures.

    Args:
        result: The result of the demonstration.

    Returns:
        A table with one column for each workspace.
    """
    table = Table(title="What each workspace got", title_justify="left")
    table.add_column("measure")
    for name in result.workspaces:
        table.add_column(name, justify="right")
    columns = [list(_measures(summary)) for summary in result.workspaces.values()]
    for cells in zip(*columns, strict=True):
        table.add_row(cells[0][0], *(value for _, value in cells))
    return table


def event_table(result: DemoResult) -> Table:
    """Return a table of the planned events and their durations.

    Args:
        result: The result of the demonstration.

    Returns:
        A table with one row for each event.
    """
    table = Table(title="Planned events", title_justify="left")
    table.add_column("event")
    table.add_column("seconds", justify="right")
    for event in result.events:
        table.add_row(event.name, f"{event.seconds:.2f}")
    return table


def _measures(summary: WorkspaceSummary) -> Iterable[tuple[str, str]]:
    yield "requests", f"{summary.requests:,}"
    yield "answered in full", f"{summary.answered:,}"
    yield "refused, not run", f"{summary.refused_not_run:,}"
    yield "end unknown, may have run", f"{summary.may_have_run:,}"
    yield "run twice although not repeatable", f"{summary.duplicate_runs:,}"
    yield "answered but not run", f"{summary.lost_runs:,}"
    yield "wrong answers", f"{summary.wrong_answers:,}"
    yield "keys with two owners", f"{summary.owner_overlaps:,}"
    yield "busiest target over the mean", f"{summary.imbalance:.2f}"
    yield "share of keys that moved", f"{summary.churn:.1%}"
    yield "longest time a key was unavailable", f"{summary.unavailable_seconds:.2f} s"
    yield "median time to answer", f"{summary.p50_ms:.1f} ms"
    yield "99 in 100 answered within", f"{summary.p99_ms:.1f} ms"
