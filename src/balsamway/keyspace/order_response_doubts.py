"""Tell whether a response may be the repetition of an earlier order's."""

from __future__ import annotations

import weakref
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.exchange import TargetConnection


class OrderResponseDoubts:
    """Compares the responses to orders on each connection.

    No response names its order. Each release has another handover, so the
    handovers tell a repeated response.
    """

    def __init__(self) -> None:
        self._received_handovers: weakref.WeakKeyDictionary[
            TargetConnection, set[str]
        ] = weakref.WeakKeyDictionary()
        """The handovers received on each open connection."""

    def check(
        self,
        connection: TargetConnection,
        is_grant: bool,
        is_success: bool,
        handover: str | None,
    ) -> str | None:
        """Record a response, and return why it may belong to an earlier order.

        A repeated acceptance cannot be told from the one of this grant. It
        frees no keys, and the grant's expiry is the same with either. The
        response that follows it resets the connection.

        Args:
            connection: The connection that the response came on.
            is_grant: Whether the order is a grant; otherwise a release.
            is_success: Whether the target did what the order asks for.
            handover: The handover in the response, if there is one.

        Returns:
            The reason, or None if the response counts.
        """
        received = self._received_handovers.setdefault(connection, set())
        was_received = handover in received
        if handover is not None:
            received.add(handover)
        if connection.exchange_count <= 1:
            return None
        if not is_success:
            return "a refusal on a connection that was used before"
        if is_grant:
            return None if handover is None else "a grant's response has a handover"
        if handover is None:
            return "a release's response has no handover"
        return "the handover was received before" if was_received else None
