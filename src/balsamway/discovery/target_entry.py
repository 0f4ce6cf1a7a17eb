"""The entry with which a target registers itself in the store."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """The state that one incarnation of a target has registered."""

    name: str
    incarnation: int
    """Distinguishes a target that restarted under its name from the previous
    one."""
    service: str
    address: str
    """The `ip:port` that the target listens on."""
    zone: str
    capacity: int
    """The number of requests that the target executes at the same time."""
    is_draining: bool
    warmup_seconds: float
    """The remaining warm-up after the target's start, in seconds, when the
    entry was written. The target is slower than usual until then."""
    sequence: int = 0
    """Counts the writes of the incarnation."""

    @property
    def key(self) -> tuple[str, int]:
        """The name and the incarnation, which identify the target."""
        return (self.name, self.incarnation)

    def is_older_write_than(self, other: TargetEntry) -> bool:
        """Return whether the target wrote another entry after this one.

        The sequences of two incarnations, or of unknown ones, say nothing.

        Args:
            other: The other entry.
        """
        return (
            self.key == other.key
            and self.incarnation > 0
            and self.sequence < other.sequence
        )
