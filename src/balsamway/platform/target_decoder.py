"""Reads what targets say of themselves."""

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
    """When the target's process started, in milliseconds since 1970; tells
    two lives under one name apart."""


def decode_target(name: str, body: bytes) -> TargetEntry | None:
    """Decodes an entry.

    Args:
        name: The name under which the target registered.
        body: The stored value, which any writer may have made.

    Returns:
        The entry, or None where it names no target that can be used.
    """
    try:
        found = msgspec.json.decode(body, type=_Entry)
        ip, port = split_address(found.address)
        ipaddress.IPv4Address(ip)
        if not 0 < port < 65_536:
            raise ValueError(f"port {port}")
    except (msgspec.MsgspecError, ValueError) as error:
        logger.warning(
            "target-entry-unreadable",
            extra={"target": name, "reason": str(error)[:200]},
        )
        return None
    return TargetEntry(
        name=name,
        incarnation=found.born,
        service=found.service,
        address=found.address,
        zone=found.zone,
        capacity=found.capacity,
        is_draining=found.state == "draining",
        warmup_seconds=found.warmup_left_ms / 1000,
    )
