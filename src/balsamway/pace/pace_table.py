"""The paces of all targets, on the host that leads."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.observe.line_limit import LineLimit
from balsamway.pace.interval import Interval
from balsamway.pace.target_pace import TargetPace

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from balsamway.forwarding.target_state import TargetState

DEFAULT_USUAL_SECONDS = 0.15
"""The usual response time to assume while no target of a service is known."""
MAX_LINES_PER_SECOND = 5
"""Bounds the log lines about paces."""

logger = logging.getLogger(__name__)


class PaceTable:
    """Decides the paces of the targets whose service names a warm-up time."""

    def __init__(self) -> None:
        self._paces: dict[tuple[str, int], TargetPace] = {}
        self._intervals: dict[tuple[str, int], Interval] = {}
        self._usual: dict[str, float] = {}
        """The usual response time of each target name."""
        self._line_limit = LineLimit(logger, MAX_LINES_PER_SECOND)

    def add(self, reports: Mapping[str, tuple[int, Interval]]) -> None:
        """Add the report of a host.

        Args:
            reports: For each target, its incarnation and what the host saw.
        """
        for name, (incarnation, interval) in reports.items():
            key = (name, incarnation)
            known = self._intervals.get(key, Interval())
            self._intervals[key] = known.plus(interval)

    def evaluate(self, states: Sequence[TargetState]) -> None:
        """Decide all paces from the reports since the last call.

        Args:
            states: The targets whose service names a warm-up time. Other
                targets are removed.
        """
        intervals, self._intervals = self._intervals, {}
        keys = {state.entry.key for state in states}
        self._paces = {key: pace for key, pace in self._paces.items() if key in keys}
        for state in states:
            pace = self._find(state, states)
            previous = pace.requests_per_second
            if state.cold.limit is not None:
                # A cold target is slower than usual, so its times say nothing.
                # The pace rises from the cold rate once it is warm.
                pace.begin(now(), state.cold.limit)
            else:
                pace.observe(intervals.get(state.entry.key, Interval()), now())
            self._usual[state.entry.name] = pace.usual_seconds
            state.pace.on_report(pace.requests_per_second)
            self._log(state, previous, pace.requests_per_second)

    def reset(self) -> None:
        """Forget the reports of an earlier leadership."""
        self._paces.clear()
        self._intervals.clear()

    def _find(self, state: TargetState, states: Sequence[TargetState]) -> TargetPace:
        key = state.entry.key
        pace = self._paces.get(key)
        if pace is None:
            pace = TargetPace(state.entry.capacity, self._usual_seconds(state, states))
            self._paces[key] = pace
            if state.pace.limit is not None:
                pace.begin(now(), state.pace.limit)
            elif state.has_just_started:
                pace.begin(now())
        return pace

    def _usual_seconds(
        self, state: TargetState, states: Sequence[TargetState]
    ) -> float:
        """Return the usual time of a target, or that of its service."""
        known = self._usual.get(state.entry.name) or state.service_seconds
        if known:
            return known
        others = [
            other.service_seconds
            for other in states
            if other.entry.service == state.entry.service and other.service_seconds
        ]
        return sum(others) / len(others) if others else DEFAULT_USUAL_SECONDS

    def _log(
        self, state: TargetState, previous: float | None, current: float | None
    ) -> None:
        if (previous is None) == (current is None) or not self._line_limit.allow():
            return
        event = "target-pace-begins" if current is not None else "target-pace-ends"
        logger.info(
            event,
            extra={
                "target": state.entry.name,
                "incarnation": state.entry.incarnation,
                "requests_per_second": current or previous,
                "cold_seconds": round(state.cold.left_seconds, 3),
            },
        )
