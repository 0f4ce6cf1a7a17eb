"""What a target says of itself."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """The entry under which a target registered itself."""

    name: str
    incarnation: int
    """Tells a target that started again under its name from the one before."""
    service: str
    address: str
    """`ip:port`."""
    zone: str
    capacity: int
    """How many requests it runs at a time."""
    is_draining: bool
    warmup_seconds: float
    """How much longer it is slow after its start, when the entry was made."""

    @property
    def key(self) -> tuple[str, int]:
        """Names this run of the target."""
        return (self.name, self.incarnation)
