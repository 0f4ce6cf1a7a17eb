"""Shows a demonstration's result as tables that a board can read."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rich.table import Table

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamway.demo.demo_result import DemoResult
    from balsamway.standins.workspace_summary import WorkspaceSummary


def workspace_table(result: DemoResult) -> Table:
    """Makes the table of what each workspace got.

    Args:
        result: What the demonstration found.

    Returns:
        One column for each workspace.
    """
    table = Table(title="What each workspace got", title_justify="left")
    table.add_column("measure")
    for name in result.workspaces:
        table.add_column(name, justify="right")
    columns = [list(_cells(one)) for one in result.workspaces.values()]
    for rows in zip(*columns, strict=True):
        table.add_row(rows[0][0], *(value for _, value in rows))
    return table


def event_table(result: DemoResult) -> Table:
    """Makes the table of the planned events and how long they took.

    Args:
        result: What the demonstration found.

    Returns:
        One row for each event.
    """
    table = Table(title="Planned events", title_justify="left")
    table.add_column("event")
    table.add_column("seconds", justify="right")
    for event in result.events:
        table.add_row(event.name, f"{event.seconds:.2f}")
    return table


def _cells(one: WorkspaceSummary) -> Iterable[tuple[str, str]]:
    yield "requests", f"{one.requests:,}"
    yield "answered in full", f"{one.answered:,}"
    yield "refused, not run", f"{one.refused_not_run:,}"
    yield "end unknown, may have run", f"{one.may_have_run:,}"
    yield "run twice although not repeatable", f"{one.duplicate_runs:,}"
    yield "answered but not run", f"{one.lost_runs:,}"
    yield "wrong answers", f"{one.wrong_answers:,}"
    yield "keys with two owners", f"{one.owner_overlaps:,}"
    yield "busiest target over the mean", f"{one.imbalance:.2f}"
    yield "share of keys that moved", f"{one.churn:.1%}"
    yield "longest time a key was unavailable", f"{one.unavailable_seconds:.2f} s"
    yield "median time to answer", f"{one.p50_ms:.1f} ms"
    yield "99 in 100 answered within", f"{one.p99_ms:.1f} ms"
