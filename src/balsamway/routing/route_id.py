"""What tells a route from all others of a configuration."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RouteId:
    """Identifies a route by the requests that it matches.

    A route's name is a label for people. It may stand on several hosts.
    """

    host: str
    """The host name, in lower case."""
    path_prefix: str
