"""A request id that a target has met."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.standins.target.attempt_result import AttemptResult


@dataclass(slots=True)
class KnownRequest:
    """What became of the attempts of one request id."""

    ran: bool = False
    received: set[str] = field(default_factory=set)
    """The ids of the attempts that reached the target."""
    tasks: set[asyncio.Task[AttemptResult]] = field(default_factory=set)
    """The attempts in progress."""
