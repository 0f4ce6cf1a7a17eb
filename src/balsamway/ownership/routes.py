"""The interface by which a gateway finds the owners of keys."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from contextlib import AbstractContextManager

    from balsamway.ownership.route import NoRoute, Route
    from balsamway.slices import ShardId


class Routes(Protocol):
    """Finds the owners of keys in this gateway's views."""

    async def find(
        self, shard: ShardId, position: int, deadline: float
    ) -> Route | NoRoute:
        """Find the owner of a key.

        Waits while the key's slice moves or has no owner.

        Args:
            shard: The shard of the key.
            position: The hash position of the key.
            deadline: The event loop time at which to give up.

        Returns:
            The route, or the reason why there was none by the deadline.
        """
        ...

    def attempt(self, route: Route) -> AbstractContextManager[bool]:
        """Count a request in flight on a route until the context ends.

        Args:
            route: The route, found just before.

        Returns:
            A context manager that yields whether the route is still current.
            If it is not, nothing may be sent on it.
        """
        ...

    def refused(self, route: Route) -> None:
        """Report that a target refused a route, so that the view is renewed.

        Args:
            route: The route that was refused.
        """
        ...
