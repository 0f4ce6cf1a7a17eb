from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Step:
    """One call on a fake: where a fault can be injected."""

    interface: str
    """`store`, `peers` or `targets`."""
    operation: str
    """The method, or the class name of the message for `peers`."""
    source: str
    subject: str
    """The object, the host or the target called."""
    detail: Any = None
    """The message, order or body."""
