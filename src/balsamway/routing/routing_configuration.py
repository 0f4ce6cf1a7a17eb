"""One version of all routes and services."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from balsamway.routing.caller_limits import CallerLimits

if TYPE_CHECKING:
    from collections.abc import Mapping

    from balsamway.routing.route import Route
    from balsamway.routing.routed_service import RoutedService


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """The routes, services and limits that are adopted together."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, RoutedService]
    limits: CallerLimits = field(default_factory=CallerLimits)
    problems: tuple[str, ...] = ()
    """What could not be decoded, and is therefore not in force."""

    @property
    def keyed_services(self) -> tuple[str, ...]:
        """The names of the services whose keys have one owner at a time."""
        return tuple(
            service.name for service in self.services.values() if service.is_keyed
        )
