"""Turns configurations into stored bodies and back."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from balsamway.configuration.member_configuration import MemberConfiguration

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True, slots=True)
class Malformed:
    """A body that is no configuration, or not the one expected."""

    reason: str


def encode_configuration(configuration: MemberConfiguration) -> bytes:
    """Encodes a configuration as it is stored.

    Args:
        configuration: The configuration.

    Returns:
        JSON.
    """
    return msgspec.json.encode(configuration)


def decode_configuration(body: bytes, member: str) -> MemberConfiguration | Malformed:
    """Decodes a stored configuration.

    Args:
        body: JSON.
        member: The member whose configuration is expected.

    Returns:
        The configuration, or what is wrong with the body.
    """
    try:
        found = msgspec.json.decode(body, type=MemberConfiguration)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Malformed(str(error))
    if found.member != member:
        return Malformed(f"the member is {found.member!r}")
    if found.version < 1:
        return Malformed(f"the version is {found.version}")
    return found


def encode_members(members: Iterable[str]) -> bytes:
    """Encodes the list of members.

    Args:
        members: The members' names.

    Returns:
        JSON, in the order of the names.
    """
    return msgspec.json.encode(sorted(set(members)))


def decode_members(body: bytes) -> tuple[str, ...] | Malformed:
    """Decodes the list of members.

    Args:
        body: JSON.

    Returns:
        The members' names, or what is wrong with the body.
    """
    try:
        return msgspec.json.decode(body, type=tuple[str, ...])
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Malformed(str(error))
