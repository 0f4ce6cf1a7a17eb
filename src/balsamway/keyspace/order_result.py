"""What became of an order to a target."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class Accepted:
    """The target holds the keys from the order's arrival on."""


@dataclass(frozen=True, slots=True)
class TokenOutdated:
    """The target has seen a higher token on one of the keys."""


@dataclass(frozen=True, slots=True)
class Released:
    """The target no longer holds the keys, and nothing runs on them."""

    handover: str | None
    """What lets the next holder begin without a warm-up."""


@dataclass(frozen=True, slots=True)
class WrongTarget:
    """Another target has the address, so the one addressed has ended."""

    name: str


@dataclass(frozen=True, slots=True)
class OrderNotSent:
    """Nothing was written; the target does not know of the order."""

    reason: str


@dataclass(frozen=True, slots=True)
class OrderLost:
    """No usable answer came; the order may take effect, also later."""

    reason: str


GrantResult: TypeAlias = (
    Accepted | TokenOutdated | WrongTarget | OrderNotSent | OrderLost
)
ReleaseResult: TypeAlias = Released | WrongTarget | OrderNotSent | OrderLost
