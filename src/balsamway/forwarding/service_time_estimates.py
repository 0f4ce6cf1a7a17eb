"""Estimates of service times, by route and service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.routing import RouteId

NEWEST_WEIGHT = 0.05
"""The weight of the newest response in a moving mean, from 0 to 1."""


class ServiceTimeEstimates:
    """Tracks the mean service time of each route at each service.

    The service times of routes to one service differ by a factor of five and
    more. A target's speed is therefore compared with the mean of the same
    route, not with the mean of the service.
    """

    def __init__(self) -> None:
        self._route_means: dict[tuple[RouteId, str], float] = {}
        self._service_means: dict[str, float] = {}

    def record(self, route: RouteId, service: str, seconds: float) -> None:
        """Record the service time of a request that found a free slot.

        Args:
            route: Its route.
            service: The name of the service that responded.
            seconds: The latency of the response.
        """
        key = (route, service)
        self._route_means[key] = _moving_mean(self._route_means.get(key), seconds)
        self._service_means[service] = _moving_mean(
            self._service_means.get(service), seconds
        )

    def mean_seconds(self, route: RouteId, service: str) -> float:
        """Return the mean service time of a route at a service.

        Args:
            route: The route.
            service: The name of the service.

        Returns:
            The mean in seconds, or 0 if it is not known.
        """
        return self._route_means.get((route, service), 0.0)

    def relative_to_service(self, route: RouteId, service: str) -> float:
        """Return a route's service time as a multiple of the service's mean.

        Args:
            route: The route.
            service: The name of the service.

        Returns:
            The multiple, or 1 if either mean is not known.
        """
        route_mean = self._route_means.get((route, service))
        service_mean = self._service_means.get(service)
        if not route_mean or not service_mean:
            return 1.0
        return route_mean / service_mean

    def forget_route(self, route: RouteId) -> None:
        """Remove the estimates of a route that no longer exists.

        Args:
            route: The route.
        """
        for key in [key for key in self._route_means if key[0] == route]:
            del self._route_means[key]


def _moving_mean(mean: float | None, seconds: float) -> float:
    return seconds if mean is None else mean + NEWEST_WEIGHT * (seconds - mean)
