"""The owner of a key, as far as this entry host knows."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import asyncio


@dataclass(frozen=True, slots=True)
class KeyOwner:
    """The target incarnation that owns a key."""

    name: str
    incarnation: int
    is_ready: bool
    """Whether the target has accepted the key and executes requests for it."""
    ready_at: float = 0.0
    """When the target is expected to have accepted it, in event loop time."""


class KeyOwners(Protocol):
    """Looks up the owners of keys."""

    def owner(self, service: str, key: int) -> KeyOwner | None:
        """Return the owner of a key.

        Args:
            service: The name of the service.
            key: The key.

        Returns:
            The owner, or None if no owner is known.
        """
        ...

    def changed(self) -> asyncio.Future[None]:
        """Return a future that is done at the next change of any owner."""
        ...
