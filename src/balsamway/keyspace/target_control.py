"""How targets are told which keys they hold."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.exchange import ConnectionPool
    from balsamway.keyspace.order_result import GrantResult, ReleaseResult


class TargetControl(Protocol):
    """Gives orders to targets, which check their tokens."""

    async def grant(
        self,
        pool: ConnectionPool,
        target: str,
        keys: tuple[int, int],
        token: int,
        grant_seconds: float,
        handover: str | None,
        timeout_seconds: float,
        may_send: Callable[[], bool],
    ) -> GrantResult:
        """Lets a target hold keys for a time from the order's arrival.

        Args:
            pool: The connections to the target.
            target: Its name.
            keys: The first and the last key.
            token: The fencing token.
            grant_seconds: For how long.
            handover: What the last holder gave for the next.
            timeout_seconds: The longest time to wait for an answer.
            may_send: Asked right before the order is written, since a
                connection may have been waited for.

        Returns:
            What became of the order.
        """
        ...

    async def release(
        self,
        pool: ConnectionPool,
        target: str,
        keys: tuple[int, int],
        token: int,
        timeout_seconds: float,
    ) -> ReleaseResult:
        """Takes keys back and waits for the work on them to end.

        Args:
            pool: The connections to the target.
            target: Its name.
            keys: The first and the last key.
            token: A token above that of the target's grant, so that a grant
                that arrives late is refused.
            timeout_seconds: The longest time to wait for an answer.

        Returns:
            What became of the order.
        """
        ...
