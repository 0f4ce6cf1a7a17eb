"""Finds the route of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamway.routing.route import Route


class RouteTable:
    """Looks routes up by host name and longest path prefix."""

    def __init__(self, routes: Iterable[Route]) -> None:
        """Indexes the routes.

        Args:
            routes: The routes of one configuration.
        """
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._hosts.setdefault(route.host, {})[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Finds the route of a request.

        Args:
            host: The host name as the caller sent it; a port is ignored.
            path: The path, with or without a query.

        Returns:
            The route with the longest prefix of the path, or None.
        """
        prefixes = self._hosts.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        end = len(path.partition("?")[0])
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None
