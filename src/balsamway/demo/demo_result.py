"""Defines the result of a demonstration."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.demo.event_report import EventReport
    from balsamway.standins.checker.violation import Violation
    from balsamway.standins.workspace_summary import WorkspaceSummary


@dataclass(frozen=True, slots=True)
class DemoResult:
    """Each workspace's measures, and the violated invariants."""

    workspaces: dict[str, WorkspaceSummary]
    events: tuple[EventReport, ...]
    violations: tuple[Violation, ...]

    @property
    def document(self) -> dict[str, object]:
        """The content of the JSON line that the command prints."""
        summaries = list(self.workspaces.values())
        counts: dict[str, object] = {
            name: sum(getattr(summary, name) for summary in summaries)
            for name in (
                "requests",
                "answered",
                "refused_not_run",
                "may_have_run",
                "duplicate_runs",
                "lost_runs",
                "wrong_answers",
                "owner_overlaps",
            )
        }
        workspaces = {
            name: {
                "imbalance": round(summary.imbalance, 3),
                "churn": round(summary.churn, 4),
                "unavailable_seconds": round(summary.unavailable_seconds, 3),
                "p50_ms": round(summary.p50_ms, 2),
                "p99_ms": round(summary.p99_ms, 2),
            }
            for name, summary in self.workspaces.items()
        }
        return {**counts, "workspaces": workspaces}
