"""Decode the entries with which targets register themselves."""

from __future__ import annotations

import ipaddress
import logging
from typing import Annotated, Literal

import msgspec

from balsamway.address import split_address
from balsamway.discovery import TargetEntry

logger = logging.getLogger(__name__)


class _Entry(msgspec.Struct, frozen=True, rename="camel"):
    service: str
    address: str
    zone: str
    capacity: Annotated[int, msgspec.Meta(ge=1)]
    state: Literal["ready", "draining"]
    sequence: int
    warmup_left_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    born: int = 0
    """The start time of the target's process, in milliseconds since 1970. It
    distinguishes two incarnations with the same name."""


def decode_target(name: str, body: bytes) -> TargetEntry | None:
    """Decode an entry, and log a warning if it is invalid.

    Args:
        name: The name under which the target registered.
        body: The stored value. It is not trusted: anyone with access to the
            store can write it.

    Returns:
        The entry, or None if it is invalid.
    """
    try:
        decoded = msgspec.json.decode(body, type=_Entry)
        ip, port = split_address(decoded.address)
        ipaddress.IPv4Address(ip)
        if not 0 < port < 65_536:
            raise ValueError(f"port {port} is not between 1 and 65535")
    except (msgspec.MsgspecError, ValueError) as error:
        logger.warning(
            "target-entry-unreadable",
            extra={"target": name, "reason": str(error)[:200]},
        )
        return None
    return TargetEntry(
        name=name,
        incarnation=decoded.born,
        service=decoded.service,
        address=decoded.address,
        zone=decoded.zone,
        capacity=decoded.capacity,
        is_draining=decoded.state == "draining",
        warmup_seconds=decoded.warmup_left_ms / 1000,
    )
