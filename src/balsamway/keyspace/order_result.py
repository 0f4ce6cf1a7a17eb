"""The possible results of an order to a target.

An order is a grant or release sent by the leader.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class Accepted:
    """The target owns the keys from the arrival of the order on."""


@dataclass(frozen=True, slots=True)
class Outdated:
    """The target has seen a higher fencing token on one of the keys."""


@dataclass(frozen=True, slots=True)
class Released:
    """The target no longer owns the keys, and no request runs on them."""

    handover: str | None
    """What lets the next owner begin without a warm-up. None if not given."""


@dataclass(frozen=True, slots=True)
class OtherTarget:
    """Another target has the address, so the addressed one has ended."""

    name: str


@dataclass(frozen=True, slots=True)
class OrderNotSent:
    """Nothing was written, so the target does not know of the order."""

    reason: str


@dataclass(frozen=True, slots=True)
class OrderLost:
    """No usable response came. The order may take effect now or later."""

    reason: str


GrantResult: TypeAlias = Accepted | Outdated | OtherTarget | OrderNotSent | OrderLost
ReleaseResult: TypeAlias = Released | OtherTarget | OrderNotSent | OrderLost
