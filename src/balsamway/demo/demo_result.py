"""What a demonstration found."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.demo.event_report import EventReport
    from balsamway.standins.checker.violation import Violation
    from balsamway.standins.workspace_summary import WorkspaceSummary


@dataclass(frozen=True, slots=True)
class DemoResult:
    """Each workspace's measures, and what did not hold that always must."""

    workspaces: dict[str, WorkspaceSummary]
    events: tuple[EventReport, ...]
    violations: tuple[Violation, ...]

    @property
    def document(self) -> dict[str, object]:
        """The result as the JSON line has it."""
        summaries = list(self.workspaces.values())
        counts: dict[str, object] = {
            name: sum(getattr(one, name) for one in summaries)
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
                "imbalance": round(one.imbalance, 3),
                "churn": round(one.churn, 4),
                "unavailable_seconds": round(one.unavailable_seconds, 3),
                "p50_ms": round(one.p50_ms, 2),
                "p99_ms": round(one.p99_ms, 2),
            }
            for name, one in self.workspaces.items()
        }
        return {**counts, "workspaces": workspaces}
