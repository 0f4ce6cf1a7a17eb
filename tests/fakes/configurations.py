from __future__ import annotations

from balsamway.configuration import MemberConfiguration


class FakeConfigurations:
    """Configurations in force, set by the test."""

    def __init__(self, *members: MemberConfiguration) -> None:
        self.found = {one.member: one for one in members}

    def member(self, name: str) -> MemberConfiguration | None:
        return self.found.get(name)

    def members(self) -> tuple[MemberConfiguration, ...]:
        return tuple(self.found[name] for name in sorted(self.found))

    def member_of_token(self, token: str) -> MemberConfiguration | None:
        return None
