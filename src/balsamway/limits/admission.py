"""Whether a request may be sent to a target that names a limit."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may be sent."""


@dataclass(frozen=True, slots=True)
class HeldBack:
    """The limit is used up."""

    retry_after_seconds: float
    """When there is room for this request, in seconds from now."""
    next_token_seconds: float
    """When the next request of its priority may be admitted, in seconds from
    now."""


Admission: TypeAlias = Admitted | HeldBack
