"""Who owns a key, as far as a gateway knows."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import asyncio


@dataclass(frozen=True, slots=True)
class KeyOwner:
    """The target that holds a key."""

    name: str
    incarnation: int
    has_accepted: bool
    """Whether it has accepted the key, so that it runs requests for it."""
    accept_expected_at: float = 0.0
    """When it should have, by the runtime's clock."""


class KeyOwners(Protocol):
    """Looks up the owners of keys."""

    def find_owner(self, service: str, key: int) -> KeyOwner | None:
        """Gives the owner of a key.

        Args:
            service: The name of the service.
            key: The key.

        Returns:
            The owner, or None where none is known.
        """
        ...

    def next_change(self) -> asyncio.Future[None]:
        """Gives a future that is done at the next change of owners."""
        ...
