"""The routes in force, and how far each has split its requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from balsamway.routing.route_table import RouteTable
from balsamway.routing.weighted_split import WeightedSplit

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from balsamway.routing.route import Route
    from balsamway.routing.route_id import RouteId


@dataclass(frozen=True, slots=True)
class RouteChoice:
    """The route of a request, and the service that its split chose."""

    route: Route
    service: str | None
    """None if the route has no service that could be decoded."""


class ActiveRoutes:
    """Chooses a route and one of its services for each request."""

    def __init__(self, rng: random.Random) -> None:
        """Start without routes.

        Args:
            rng: Draws the phase in which each split starts.
        """
        self._rng = rng
        self._table = RouteTable(())
        self._splits: dict[RouteId, WeightedSplit] = {}

    def replace(self, routes: Iterable[Route]) -> frozenset[RouteId]:
        """Put the routes of a configuration in force.

        A route whose services and weights stay the same goes on splitting
        where it was.

        Args:
            routes: The routes of the configuration.

        Returns:
            The routes that were in force and no longer are.
        """
        self._table = RouteTable(routes)
        previous, self._splits = self._splits, {}
        for route in self._table.routes:
            split = previous.get(route.id)
            if split is None or split.backends != route.backends:
                split = WeightedSplit(route.backends, self._rng)
            self._splits[route.id] = split
        return frozenset(previous.keys() - self._splits.keys())

    def timeout_seconds(self, host: str, path: str) -> float | None:
        """Return the timeout of the route of a request.

        Args:
            host: The host name as the caller sent it.
            path: The path, with or without a query.

        Returns:
            The timeout in seconds, or None if no route matches the request.
        """
        route = self._table.find(host, path)
        return None if route is None else route.timeout_seconds

    def choose(self, host: str, path: str) -> RouteChoice | None:
        """Choose the route and the service of a request.

        Args:
            host: The host name as the caller sent it.
            path: The path, with or without a query.

        Returns:
            The choice, or None if no route matches the request.
        """
        route = self._table.find(host, path)
        if route is None:
            return None
        return RouteChoice(route, self._splits[route.id].next_service())
