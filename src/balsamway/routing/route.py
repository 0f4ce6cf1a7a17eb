"""A route: which requests it takes, and how they are served."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.routing.backend import Backend
    from balsamway.routing.route_type import RouteType


@dataclass(frozen=True, slots=True)
class Route:
    """Takes the requests of a host name whose path starts with a prefix."""

    name: str
    host: str
    """The host name, in lower case."""
    path_prefix: str
    """Starts and ends with a slash."""
    type: RouteType
    timeout_seconds: float
    """The longest time that a caller is kept waiting."""
    objective_seconds: float
    """The time within which an answer is worth most."""
    priority: int
    """The rank under overload; 0 is the most urgent."""
    max_attempts: int
    """How many targets one request may be sent to."""
    backends: tuple[Backend, ...]
    """The services, at least one, in the configuration's order."""
