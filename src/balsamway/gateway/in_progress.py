"""Count and limit the requests in progress on a gateway."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.outcome import NotRun, Reason

if TYPE_CHECKING:
    from balsamway.gateway.gateway_limits import GatewayLimits

RETRY_AFTER_SECONDS = 1.0
"""The `Retry-After` of a request that is refused by these limits."""


class InProgress:
    """Count and limit the requests in progress on a gateway."""

    def __init__(self, limits: GatewayLimits) -> None:
        self._limits = limits
        self._total = 0
        self._by_workspace: dict[str, int] = {}
        self._empty = asyncio.Event()
        self._empty.set()

    @property
    def total(self) -> int:
        """The number of requests in progress."""
        return self._total

    def try_acquire(self, workspace: str) -> NotRun | None:
        """Count a request, unless too many are in progress.

        Args:
            workspace: The name of the workspace that the request belongs to.

        Returns:
            None if the request was counted, else the refusal.
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

    def release(self, workspace: str) -> None:
        """Count the end of a request.

        Args:
            workspace: The name of the workspace that the request belongs to.
        """
        self._by_workspace[workspace] -= 1
        if not self._by_workspace[workspace]:
            del self._by_workspace[workspace]
        self._total -= 1
        if not self._total:
            self._empty.set()

    async def wait_until_empty(self, until: float) -> None:
        """Wait until no request is in progress.

        Args:
            until: When to stop waiting, in event loop time.
        """
        try:
            async with asyncio.timeout_at(until):
                await self._empty.wait()
        except TimeoutError:
            return

    def dump(self) -> dict[str, object]:
        """Return the counts for the state dump."""
        return {"total": self._total, "by_workspace": dict(self._by_workspace)}
