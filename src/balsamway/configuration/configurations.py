"""The interface to the configurations in force on this host."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.configuration.member_configuration import MemberConfiguration


class Configurations(Protocol):
    """The configurations that this host has adopted."""

    def member(self, name: str) -> MemberConfiguration | None:
        """Gives the configuration in force for a member.

        Args:
            name: The member's name.

        Returns:
            The configuration, or None for a member not known here.
        """
        ...

    def members(self) -> tuple[MemberConfiguration, ...]:
        """Lists the configurations in force, in the order of their names."""
        ...

    def member_of_token(self, token: str) -> MemberConfiguration | None:
        """Finds the member whose callers present a token.

        Args:
            token: The token as the caller sent it.

        Returns:
            The configuration, or None where no member has the token.
        """
        ...
