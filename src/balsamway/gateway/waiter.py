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
    """A request that waits for a target, in the order of admission."""

    negated_urgency: int
    """The urgency of the request's kind, negated. Smaller values go first."""
    deadline: float
    arrival_number: int
    """The number of the request in the order of arrival."""
    attempt: Attempt = field(compare=False)
    admitted: asyncio.Future[TargetState | NotRun] = field(compare=False)
    """The target that the request may be sent to, or its refusal."""
