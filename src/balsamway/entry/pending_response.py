"""A request whose response is not written yet."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

    from balsamway.outcome import Verdict


@dataclass(frozen=True, slots=True)
class PendingResponse:
    """A request in progress, queued in the order of its connection."""

    task: asyncio.Task[Verdict]
    request_id: str | None
    method: str
