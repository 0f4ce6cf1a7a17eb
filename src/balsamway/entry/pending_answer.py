"""A request whose answer is not written yet."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

    from balsamway.outcome import Verdict


@dataclass(frozen=True, slots=True)
class PendingAnswer:
    """A request in progress, in its place on the connection."""

    task: asyncio.Task[Verdict]
    request_id: str | None
    method: str
