"""The interface over which the leader of a shard orders targets."""

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
    """Carries orders to targets."""

    async def grant(
        self, target: Host, order: GrantOrder, timeout_seconds: float
    ) -> OrderResult:
        """Gives a target its grant, or renews it."""
        ...

    async def release(
        self, target: Host, order: ReleaseOrder, timeout_seconds: float
    ) -> OrderResult:
        """Takes ranges from a target and waits for the runs in them to end."""
        ...

    async def survey(
        self, target: Host, order: SurveyOrder, timeout_seconds: float
    ) -> OrderResult:
        """Asks a target what it holds, and announces the leader epoch."""
        ...
