"""The interface over which the leader of a shard orders servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.servers.orders import (
        GrantOrder,
        OrderResult,
        ReleaseOrder,
        SurveyOrder,
    )
    from balsamway.store import Host


class ServerControl(Protocol):
    """Carries orders to servers."""

    async def grant(
        self, server: Host, order: GrantOrder, timeout_seconds: float
    ) -> OrderResult:
        """Gives a server its grant, or renews it."""
        ...

    async def release(
        self, server: Host, order: ReleaseOrder, timeout_seconds: float
    ) -> OrderResult:
        """Takes ranges from a server and waits for the runs in them to end."""
        ...

    async def survey(
        self, server: Host, order: SurveyOrder, timeout_seconds: float
    ) -> OrderResult:
        """Asks a server what it holds, and announces the leader epoch."""
        ...
