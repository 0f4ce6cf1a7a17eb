"""A request whose response is not written yet."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from balsamway.outcome import Completed, MayHaveRun, Reason

if TYPE_CHECKING:
    import asyncio

    from aiohttp.streams import StreamReader

    from balsamway.outcome import NotRun, Verdict

logger = logging.getLogger(__name__)


@dataclass(slots=True, eq=False)
class PendingResponse:
    """A request in progress, queued in the order of its connection."""

    task: asyncio.Task[Verdict]
    request_id: str | None
    method: str
    payload: StreamReader | None = None
    """The request's body, or None if there is no request."""
    head_bytes: int = 0
    """The memory that the request's head takes."""
    body_bytes: int = 0
    """The memory that the request's body takes."""
    refusal: NotRun | None = None
    """The verdict if the task was cancelled before the request was passed
    on."""

    @property
    def held_bytes(self) -> int:
        """The memory that the request, and its response if any, takes."""
        task = self.task
        if not task.done() or task.cancelled() or task.exception() is not None:
            return self.head_bytes + self.body_bytes
        verdict = task.result()
        return len(verdict.body) if isinstance(verdict, Completed) else 0

    def verdict(self) -> Verdict | None:
        """Return the verdict on the request, whose task is done.

        Returns:
            The verdict, or None if nothing is sent to the caller.
        """
        if self.task.cancelled():
            return self.refusal
        error = self.task.exception()
        if error is None:
            return self.task.result()
        logger.error(
            "request-failed", exc_info=error, extra={"request_id": self.request_id}
        )
        return MayHaveRun(Reason.INTERNAL_ERROR, "the gateway failed")
