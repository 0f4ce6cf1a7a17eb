"""When a caller last made progress, and whether that was too long ago."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.clock import now

if TYPE_CHECKING:
    from balsamway.routing import CallerLimits


class CallerProgress:
    """The times of a connection, in event loop time."""

    def __init__(self) -> None:
        """Begin with a caller that has just connected."""
        self.active_at = now()
        """When bytes were last received or written."""
        self.head_started_at: float | None = None
        """When an incomplete head began to arrive, or None."""
        self.sent_at = self.active_at
        """When fewer bytes than before were left to send."""
        self._unsent_bytes = 0

    def on_active(self) -> None:
        """Note that bytes were received or written."""
        self.active_at = now()

    def on_parsed(self, is_in_head: bool) -> None:
        """Note whether a head is incomplete after the bytes received so far.

        Args:
            is_in_head: Whether one is.
        """
        if not is_in_head:
            self.head_started_at = None
        elif self.head_started_at is None:
            self.head_started_at = self.active_at

    def on_sent(self, unsent_bytes: int) -> None:
        """Note how many bytes are left to send.

        Args:
            unsent_bytes: Their number.
        """
        if unsent_bytes == 0 or unsent_bytes < self._unsent_bytes:
            self.sent_at = now()
        self._unsent_bytes = unsent_bytes

    def on_held_back(self) -> None:
        """Note that the caller's bytes are left unread, so no time runs."""
        self.active_at = now()
        if self.head_started_at is not None:
            self.head_started_at = self.active_at

    def is_sending_overdue(self, limits: CallerLimits) -> bool:
        """Return whether the caller has read nothing for too long.

        Args:
            limits: The limits in force.
        """
        return now() - self.sent_at > limits.idle_timeout_seconds

    def is_head_overdue(self, limits: CallerLimits) -> bool:
        """Return whether a head takes too long to arrive.

        Args:
            limits: The limits in force.
        """
        began_at = self.head_started_at
        return began_at is not None and now() - began_at > limits.header_timeout_seconds

    def is_inactive(self, limits: CallerLimits) -> bool:
        """Return whether nothing was received or written for too long.

        Args:
            limits: The limits in force.
        """
        return now() - self.active_at > limits.idle_timeout_seconds
