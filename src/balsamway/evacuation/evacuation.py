"""The evacuation of one zone, as this host knows it."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.clock import now


@dataclass(frozen=True, slots=True)
class Evacuation:
    """When this host learned of an evacuation, and what may still be sent."""

    since: float
    """When this host learned of it, in event loop time."""
    owners_until: float
    """Until when targets of the zone get requests for the keys that they own,
    in event loop time. Other requests stop at once."""

    def may_receive(self, is_key_owner: bool) -> bool:
        """Return whether a request may be sent to a target of the zone now.

        Args:
            is_key_owner: Whether the target owns the key of the request.
        """
        return is_key_owner and now() < self.owners_until
