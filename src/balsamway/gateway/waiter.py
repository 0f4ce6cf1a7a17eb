"""A request that waits for a server."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

    from balsamway.outcome import NotRun


@dataclass(frozen=True, slots=True, order=True)
class Waiter:
    """A request that waits for a server, ordered by who goes first."""

    patience: int
    """The urgency, negated."""
    deadline: float
    number: int
    """The order of arrival."""
    granted: asyncio.Future[NotRun | None] = field(compare=False)
    """None once the request may be sent, else why it never will be."""
