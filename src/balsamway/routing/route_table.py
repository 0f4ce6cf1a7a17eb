"""The lookup table of a configuration's routes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from balsamway.routing.route import Route


class RouteTable:
    """Looks up routes by host name and longest path prefix."""

    def __init__(self, routes: Iterable[Route]) -> None:
        """Index the routes.

        Args:
            routes: The routes of one configuration. Of several with the same
                identity, the last one counts.
        """
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._routes_by_host.setdefault(route.host, {})[route.path_prefix] = route

    @property
    def routes(self) -> Iterator[Route]:
        """The routes, each identity once."""
        for routes_by_prefix in self._routes_by_host.values():
            yield from routes_by_prefix.values()

    def find(self, host: str, path: str) -> Route | None:
        """Find the route of a request.

        Args:
            host: The host name as the caller sent it. A port is ignored.
            path: The path, with or without a query.

        Returns:
            The route with the longest matching path prefix, or None.
        """
        routes_by_prefix = self._routes_by_host.get(host.partition(":")[0].lower())
        if routes_by_prefix is None:
            return None
        end = len(path.partition("?")[0])
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None
