"""Keeps short urgent requests away from targets that run long ones.

It is made for a service whose routes differ much in service time, such as
filings of 0.1 s beside archive reads of 0.6 s. With a queue in order of
arrival, a short request that finds long ones in all slots misses its
objective, although the service as a whole has room.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from balsamway.clock import now

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamway.routing import Route, RouteId

MIN_OBJECTIVE_RATIO = 3.0
"""How many times longer than the shortest route's the latency objective of a
long route is. The objectives are configured, so all hosts agree; measured
service times of a few requests differ from host to host."""
HEADROOM_FACTOR = 1.7
"""How much more of the targets short requests get than their share of the
work. Targets that are less busy than the mean have a free slot more often."""
SHORT_SHARES = (0.15, 0.3, 0.5)
"""The shares of the targets for short requests to choose from. A host sees a
few requests per second only, so with finer steps hosts would disagree on the
share, and mix the requests again on the targets in between."""
MIN_TARGETS = 6
"""The least number of targets that are separated. With fewer, a part of them
has too few slots to even out bursts."""
SHORT_PENALTY_FRACTION = 0.15
"""The penalty of a target with long requests for a short one, as a fraction
of the long requests' objective: about what is left of one in progress."""
LONG_PENALTY_FRACTION = 0.35
"""The penalty of a target for short requests for a long one, as a fraction of
the latency objective of its route. It is paid only if the objective would be
missed otherwise."""
PRIOR_REQUESTS = 30.0
"""The number of requests that is assumed of each route beside those counted,
so that few requests do not change the share."""
HALF_LIFE_SECONDS = 20.0
"""The half-life of the request counts that the shares follow from."""
HASH_RANGE = 1 << 32


@dataclass(frozen=True, slots=True)
class TargetPreference:
    """Which targets of a service suit the requests of a route."""

    short_share: float
    """The share of the targets for short requests, from 0 to 1."""
    is_short: bool
    """Whether the requests are short."""
    penalty_seconds: float
    """The penalty of other targets, in waiting time."""

    def suits(self, position: float) -> bool:
        """Return whether a target is meant for the requests.

        All entry hosts agree on it without any message, but for small
        differences in the share.

        Args:
            position: The target's position; see `position_of`.
        """
        return (position < self.short_share) == self.is_short


def position_of(target: str) -> float:
    """Return a target's position in a fixed order, from 0 to 1.

    Args:
        target: The name of the target.
    """
    return zlib.crc32(target.encode()) / HASH_RANGE


@dataclass(slots=True)
class _RouteWork:
    route: Route
    weight: float
    """The share of the route's requests that go to the service."""
    requests: float = 0.0
    """The decayed number of requests."""
    counted_at: float = 0.0

    def add(self) -> None:
        at = now()
        self.requests *= 0.5 ** ((at - self.counted_at) / HALF_LIFE_SECONDS)
        self.requests += 1.0
        self.counted_at = at

    @property
    def work(self) -> float:
        """The relative amount of work.

        Service times are assumed to be in proportion to the objectives.
        """
        decayed = self.requests * 0.5 ** ((now() - self.counted_at) / HALF_LIFE_SECONDS)
        requests = decayed + PRIOR_REQUESTS * self.weight
        return requests * self.route.objective_seconds


class WorkSeparation:
    """Derives from the routes of a service which targets suit a request."""

    def __init__(self) -> None:
        self._services: dict[str, dict[RouteId, _RouteWork]] = {}

    def replace(self, routes: Iterable[Route]) -> None:
        """Put the routes of a configuration in force.

        Args:
            routes: The routes.
        """
        previous, self._services = self._services, {}
        for route in routes:
            total = sum(backend.weight for backend in route.backends) or 1.0
            for backend in route.backends:
                work = _RouteWork(route, backend.weight / total)
                known = previous.get(backend.service, {}).get(route.id)
                if known is not None:
                    work.requests = known.requests
                    work.counted_at = known.counted_at
                self._services.setdefault(backend.service, {})[route.id] = work

    def record(self, route: RouteId, service: str) -> None:
        """Count a request.

        Args:
            route: Its route.
            service: The name of the service.
        """
        work = self._services.get(service, {}).get(route)
        if work is not None:
            work.add()

    def preference(
        self, route: RouteId, service: str, target_count: int
    ) -> TargetPreference | None:
        """Return which targets suit the requests of a route.

        Args:
            route: The route.
            service: The name of the service.
            target_count: The number of targets of the service.

        Returns:
            The preference, or None if all targets suit all requests.
        """
        routes = self._services.get(service, {})
        own = routes.get(route)
        if own is None or len(routes) < 2 or target_count < MIN_TARGETS:
            return None
        shortest = min(
            (work.route for work in routes.values()),
            key=lambda candidate: candidate.objective_seconds,
        )
        long = [work for work in routes.values() if _is_long(work.route, shortest)]
        if not long:
            return None
        total = sum(work.work for work in routes.values())
        long_total = sum(work.work for work in long)
        wanted = HEADROOM_FACTOR * (total - long_total) / total
        is_short = own not in long
        if is_short:
            objective = max(work.route.objective_seconds for work in long)
            penalty_seconds = SHORT_PENALTY_FRACTION * objective
        else:
            penalty_seconds = LONG_PENALTY_FRACTION * own.route.objective_seconds
        return TargetPreference(
            min(SHORT_SHARES, key=lambda share: abs(share - wanted)),
            is_short,
            penalty_seconds,
        )


def _is_long(route: Route, shortest: Route) -> bool:
    """Return whether a route is long, and no more urgent than the shortest."""
    return (
        route.objective_seconds >= MIN_OBJECTIVE_RATIO * shortest.objective_seconds
        and route.priority >= shortest.priority
    )
