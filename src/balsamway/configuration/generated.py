"""A configuration, and where each part of it comes from."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.configuration.explained import Explained
from balsamway.configuration.member_configuration import MemberConfiguration


@dataclass(frozen=True, slots=True)
class Generated:
    """A configuration, and where each part of it comes from."""

    configuration: MemberConfiguration
    explained: tuple[Explained, ...]
