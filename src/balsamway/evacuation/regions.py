"""The regions of zones, which decide about the targets of a route."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from balsamway.routing import Route


class Regions:
    """Tells which zones a route allows."""

    def __init__(self, region_by_zone: Mapping[str, str]) -> None:
        """Create the table.

        Args:
            region_by_zone: The region of each zone, as far as it is known.
        """
        self._region_by_zone = region_by_zone

    def allows(self, route: Route, zone: str) -> bool:
        """Return whether a route's requests may be sent to a zone's targets.

        A zone whose region is not known is allowed only if the route names no
        regions.

        Args:
            route: The route.
            zone: The zone of a target.
        """
        if not route.allowed_regions:
            return True
        return self._region_by_zone.get(zone) in route.allowed_regions
