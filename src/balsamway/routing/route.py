"""A route: the requests that it matches, and how they are served."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from balsamway.routing.route_id import RouteId

if TYPE_CHECKING:
    from balsamway.routing.backend import Backend
    from balsamway.routing.route_type import RouteType


@dataclass(frozen=True, slots=True)
class Route:
    """Matches the requests to a host name whose path starts with a prefix."""

    name: str
    """A label for people, which other routes may have as well."""
    host: str
    """The host name, in lower case."""
    path_prefix: str
    """The prefix of the path, which starts and ends with a slash."""
    type: RouteType
    timeout_seconds: float
    """Bounds the time from the arrival of a request to its verdict."""
    objective_seconds: float
    """The latency objective, within which a response is worth most."""
    priority: int
    """The priority under overload. 0 is the most urgent."""
    max_attempts: int
    """Bounds the attempts of one request that reach a target."""
    backends: tuple[Backend, ...]
    """The services, in the order of the configuration. Without any, the route
    could not be decoded as a whole, and its requests are refused."""
    allowed_regions: frozenset[str] = frozenset()
    """The regions whose targets may serve the requests. Empty means all."""

    @property
    def id(self) -> RouteId:
        """What tells this route from all others of its configuration."""
        return RouteId(self.host, self.path_prefix)
