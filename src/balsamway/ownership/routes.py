"""The interface over which a gateway finds the owners of keys."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from contextlib import AbstractContextManager

    from balsamway.ownership.route import NoRoute, Route
    from balsamway.slices import ShardId


class Routes(Protocol):
    """The owners of keys by this gateway's views."""

    async def find(
        self, shard: ShardId, position: int, deadline: float
    ) -> Route | NoRoute:
        """Finds the owner of a key, waiting while its slice is held or lost.

        Args:
            shard: The shard of the key.
            position: The position of the key.
            deadline: When to give up, by the runtime's clock.

        Returns:
            The route, or why there was none by the deadline.
        """
        ...

    def track_attempt(self, route: Route) -> AbstractContextManager[bool]:
        """Counts a request in flight by a route, until the context ends.

        Args:
            route: The route, found just before.

        Returns:
            A context that gives False where the route no longer holds, in
            which case nothing may be sent by it.
        """
        ...

    def report_refusal(self, route: Route) -> None:
        """Tells that a target refused a route, so that the view is renewed.

        Args:
            route: The route that was refused.
        """
        ...
