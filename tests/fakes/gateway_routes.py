from __future__ import annotations

import asyncio
from contextlib import contextmanager
from dataclasses import dataclass, field

from balsamway.ownership.route import NoRoute, Route
from balsamway.slices import POSITION_END, KeyRange


@dataclass
class GatewayRoutes:
    """Routes in which one target owns every key.

    After a refusal `next_owner`, if set, becomes the owner.
    """

    owner: str = "s1"
    no_route: NoRoute | None = None
    view_seconds: float = 2.0
    enforces_epochs: bool = True
    valid: bool = True
    in_flight: int = 0
    refusals: list[Route] = field(default_factory=list)
    next_owner: str | None = None

    async def find(self, shard, position, deadline):
        if self.no_route is not None:
            return self.no_route
        valid_until = asyncio.get_running_loop().time() + self.view_seconds
        return Route(
            shard,
            KeyRange(0, POSITION_END),
            self.owner,
            7,
            1,
            1,
            valid_until,
            self.enforces_epochs,
        )

    @contextmanager
    def track_attempt(self, route):
        self.in_flight += 1
        try:
            yield self.valid
        finally:
            self.in_flight -= 1

    def report_refusal(self, route):
        self.refusals.append(route)
        if self.next_owner is not None:
            self.owner = self.next_owner
