"""The configurations in force on this host; versions only rise."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from balsamway.configuration.messages import MemberVersion
from balsamway.configuration.token_index import TokenIndex

if TYPE_CHECKING:
    from balsamway.configuration.adopted_configuration import AdoptedConfiguration
    from balsamway.configuration.member_configuration import MemberConfiguration


class ConfigurationTable:
    """The configurations in force on this host; versions only rise."""

    def __init__(self) -> None:
        """Starts without members."""
        self._adopted: dict[str, AdoptedConfiguration] = {}
        self._tokens = TokenIndex()
        self._fingerprint: int | None = None

    @property
    def fingerprint(self) -> int:
        """A hash of the members and their versions."""
        if self._fingerprint is None:
            text = "\n".join(f"{v.member} {v.version}" for v in self.versions())
            self._fingerprint = xxhash.xxh64_intdigest(text.encode()) >> 1
        return self._fingerprint

    def adopt(self, offered: AdoptedConfiguration) -> bool:
        """Puts a configuration in force if its version is higher.

        Args:
            offered: The configuration.

        Returns:
            Whether it is in force now and was not before.
        """
        configuration = offered.configuration
        if configuration.version <= self.version(configuration.member):
            return False
        self._adopted[configuration.member] = offered
        self._tokens.put(configuration)
        self._fingerprint = None
        return True

    def version(self, member: str) -> int:
        """Gives the version in force for a member; 0 for none."""
        found = self._adopted.get(member)
        return 0 if found is None else found.configuration.version

    def versions(self) -> tuple[MemberVersion, ...]:
        """Lists the versions in force, in the order of the members' names."""
        return tuple(
            MemberVersion(name, self._adopted[name].configuration.version)
            for name in sorted(self._adopted)
        )

    def adopted(self, member: str) -> AdoptedConfiguration | None:
        """Gives what is in force for a member, and how it came."""
        return self._adopted.get(member)

    def member(self, name: str) -> MemberConfiguration | None:
        """Gives the configuration in force for a member."""
        found = self._adopted.get(name)
        return None if found is None else found.configuration

    def members(self) -> tuple[MemberConfiguration, ...]:
        """Lists the configurations in force, in the order of their names."""
        return tuple(
            self._adopted[name].configuration for name in sorted(self._adopted)
        )

    def member_of_token(self, token: str) -> MemberConfiguration | None:
        """Finds the member whose callers present a token."""
        name = self._tokens.find(token)
        return None if name is None else self.member(name)

    def sharing_tokens(self, configuration: MemberConfiguration) -> list[str]:
        """Names the other members that have a token of this one."""
        return list(self._tokens.shared(configuration))
