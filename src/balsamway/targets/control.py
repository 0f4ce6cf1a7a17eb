"""The interface over which the leader of a shard sends orders to targets.

An order is a grant, release or survey sent by the leader.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.store import Host
    from balsamway.targets.orders import (
        GrantOrder,
        OrderResult,
        ReleaseOrder,
        SurveyOrder,
    )


class TargetControl(Protocol):
    """Send the orders of a leader to targets."""

    async def grant(
        self, target: Host, order: GrantOrder, timeout_seconds: float
    ) -> OrderResult:
        """Send a target its grant, or renew it."""
        ...

    async def release(
        self, target: Host, order: ReleaseOrder, timeout_seconds: float
    ) -> OrderResult:
        """Release ranges of a target after the requests in them have ended."""
        ...

    async def survey(
        self, target: Host, order: SurveyOrder, timeout_seconds: float
    ) -> OrderResult:
        """Query the grants of a target and announce the leader epoch."""
        ...
