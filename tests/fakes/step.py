from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Step:
    """One call to a fake, at which a fault can be injected."""

    interface: str
    """`store`, `peers` or `targets`."""
    operation: str
    """The method, or the class name of the message for `peers`."""
    source: str
    subject: str
    """The object, host or target that is called."""
    detail: Any = None
    """The message, order or body."""
