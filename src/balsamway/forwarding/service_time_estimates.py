"""How long requests take where they need not wait, by route and service."""

from __future__ import annotations

WORK_WEIGHT = 0.05
"""The weight of the newest answer in a mean."""


class ServiceTimeEstimates:
    """Follows the mean work of each route at each service.

    Routes to one service differ in work by a factor of five and more, so a
    target's speed shows only against the usual time of the same route.
    """

    def __init__(self) -> None:
        self._of_route: dict[tuple[str, str], float] = {}
        self._of_service: dict[str, float] = {}

    def learn(self, route: str, service: str, seconds: float) -> None:
        """Takes in how long a request took that found a free slot.

        Args:
            route: The name of its route.
            service: The name of the service that answered.
            seconds: The latency of the answer.
        """
        key = (route, service)
        self._of_route[key] = _mean(self._of_route.get(key), seconds)
        self._of_service[service] = _mean(self._of_service.get(service), seconds)

    def seconds(self, route: str, service: str) -> float:
        """Gives the usual work of a route at a service, 0 if not known.

        Args:
            route: The name of the route.
            service: The name of the service.
        """
        return self._of_route.get((route, service), 0.0)

    def relative(self, route: str, service: str) -> float:
        """Gives a route's work as a multiple of the mean at the service.

        Args:
            route: The name of the route.
            service: The name of the service.
        """
        of_route = self._of_route.get((route, service))
        of_service = self._of_service.get(service)
        if not of_route or not of_service:
            return 1.0
        return of_route / of_service

    def forget_route(self, route: str) -> None:
        """Drops what is known of a route that is gone.

        Args:
            route: The name of the route.
        """
        for key in [key for key in self._of_route if key[0] == route]:
            del self._of_route[key]


def _mean(known: float | None, seconds: float) -> float:
    return seconds if known is None else known + WORK_WEIGHT * (seconds - known)
