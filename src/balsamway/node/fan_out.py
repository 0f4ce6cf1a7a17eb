"""The recipients of one message of the leader."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class FanOut:
    """The hosts that the leader sends to itself, and those behind a relay."""

    direct: tuple[str, ...]
    """The names of the hosts that the leader sends the message to."""
    relayed: Mapping[str, Mapping[str, str]]
    """For each relay: the names and peer addresses of the hosts in its zone,
    to which it passes the message on."""
