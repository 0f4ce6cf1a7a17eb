"""The availability zones of one member, as configured now."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.configuration.configurations import Configurations


class MemberZones:
    """Reads a member's availability zones from the configuration in force."""

    def __init__(self, configurations: Configurations, member: str) -> None:
        """Names the member.

        Args:
            configurations: The configurations in force.
            member: The member's name.
        """
        self._configurations = configurations
        self._member = member

    def current(self) -> frozenset[str]:
        """Gives the member's zones; empty for a member not known here."""
        found = self._configurations.member(self._member)
        return found.zone_names if found is not None else frozenset()
