"""A request that waits for a target."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

    from balsamway.gateway.attempt import Attempt
    from balsamway.gateway.target_state import TargetState
    from balsamway.outcome import NotRun


@dataclass(frozen=True, slots=True, order=True)
class Waiter:
    """A request that waits for a target, ordered by who goes first."""

    patience: int
    """The urgency, negated."""
    deadline: float
    number: int
    """The order of arrival."""
    attempt: Attempt = field(compare=False)
    admitted: asyncio.Future[TargetState | NotRun] = field(compare=False)
    """The target that it may be sent to, or why it never will be."""
