"""What a target knows of one request id."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.standins.target.attempt_result import AttemptResult


@dataclass(slots=True)
class KnownRequest:
    """The attempts of one request id and whether one of them ran."""

    has_run: bool = False
    """Whether the effect of an attempt was applied."""
    received_ids: set[str] = field(default_factory=set)
    """The ids of the attempts that the target received."""
    tasks: set[asyncio.Task[AttemptResult]] = field(default_factory=set)
    """The attempts in progress."""
