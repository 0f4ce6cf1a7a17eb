"""Decode the entries with which targets register themselves."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Literal

import msgspec

from balsamway.address import split_address
from balsamway.discovery import TargetEntry
from balsamway.outcome import Malformed

MAX_CAPACITY = 1_000_000
"""The highest capacity that is believed. A higher one would draw the requests
and keys of all other targets."""
MAX_WARMUP_MS = 24 * 3_600_000
"""The longest warm-up that is believed."""
MAX_NAME_CHARACTERS = 1_024
"""The longest name. Each request to a target names it in a header."""

Int64 = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
"""Messages between hosts carry integers of 64 bits."""


class _Entry(msgspec.Struct, frozen=True, rename="camel"):
    service: str
    address: str
    zone: str
    capacity: Annotated[int, msgspec.Meta(ge=1, le=MAX_CAPACITY)]
    state: Literal["ready", "draining"]
    sequence: Int64
    warmup_left_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_WARMUP_MS)] = 0.0
    born: Int64 = 0
    """The start time of the target's process, in milliseconds since 1970. It
    distinguishes two incarnations with the same name."""


def decode_target(name: str, body: bytes) -> TargetEntry | Malformed:
    """Decode an entry.

    Args:
        name: The name under which the target registered.
        body: The stored value. It is not trusted: anyone with access to the
            store can write it.

    Returns:
        The entry, or the reason why it is invalid.
    """
    try:
        _check_name(name)
        decoded = msgspec.json.decode(body, type=_Entry)
        ip, port = split_address(decoded.address)
        ipaddress.IPv4Address(ip)
        if port == 0:
            raise ValueError("the port is 0")
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        return Malformed(str(error))
    return TargetEntry(
        name=name,
        incarnation=decoded.born,
        service=decoded.service,
        address=decoded.address,
        zone=decoded.zone,
        capacity=decoded.capacity,
        is_draining=decoded.state == "draining",
        warmup_seconds=decoded.warmup_left_ms / 1000,
        sequence=decoded.sequence,
    )


def _check_name(name: str) -> None:
    """Raise `ValueError` unless a name can be sent in a header."""
    if not (name.isascii() and name.isprintable()) or name != name.strip():
        raise ValueError("the name does not fit a header")
    if not 0 < len(name) <= MAX_NAME_CHARACTERS:
        raise ValueError(f"the name has {len(name)} characters")
