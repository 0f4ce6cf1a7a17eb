"""Counts the requests in progress on a gateway, and bounds them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.outcome import NotRun, Reason

if TYPE_CHECKING:
    from balsamway.gateway.gateway_limits import GatewayLimits

RETRY_AFTER_SECONDS = 1.0


class InProgress:
    """Counts the requests in progress on a gateway, and bounds them."""

    def __init__(self, limits: GatewayLimits) -> None:
        self._limits = limits
        self._total = 0
        self._by_workspace: dict[str, int] = {}
        self._empty = asyncio.Event()
        self._empty.set()

    @property
    def total(self) -> int:
        """How many requests are in progress."""
        return self._total

    def enter(self, workspace: str) -> NotRun | None:
        """Counts a request, unless there are too many.

        Args:
            workspace: The workspace whose request it is.

        Returns:
            None if the request was counted, else why not.
        """
        if self._total >= self._limits.requests:
            return NotRun(
                Reason.OVERLOADED,
                "the gateway has too many requests in progress",
                RETRY_AFTER_SECONDS,
            )
        count = self._by_workspace.get(workspace, 0)
        if count >= self._limits.requests_per_workspace:
            return NotRun(
                Reason.TOO_MANY_REQUESTS,
                "the workspace has too many requests in progress",
                RETRY_AFTER_SECONDS,
            )
        self._by_workspace[workspace] = count + 1
        self._total += 1
        self._empty.clear()
        return None

    def leave(self, workspace: str) -> None:
        """Counts the end of a request.

        Args:
            workspace: The workspace whose request it was.
        """
        self._by_workspace[workspace] -= 1
        if not self._by_workspace[workspace]:
            del self._by_workspace[workspace]
        self._total -= 1
        if not self._total:
            self._empty.set()

    async def wait_until_empty(self, until: float) -> None:
        """Waits for the end of every request.

        Args:
            until: When to give up, by the runtime's clock.
        """
        try:
            async with asyncio.timeout_at(until):
                await self._empty.wait()
        except TimeoutError:
            return

    def dump(self) -> dict[str, object]:
        """Gives the counts for the state dump."""
        return {"total": self._total, "by_workspace": dict(self._by_workspace)}
