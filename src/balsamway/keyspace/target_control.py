"""The interface for sending orders to targets.

An order is a grant or release sent by the leader.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.exchange import ConnectionPool
    from balsamway.keyspace.order_result import GrantResult, ReleaseResult


class TargetControl(Protocol):
    """Sends orders to targets, which enforce their fencing tokens."""

    async def grant(
        self,
        pool: ConnectionPool,
        target: str,
        keys: tuple[int, int],
        token: int,
        hold_seconds: float,
        handover: str | None,
        timeout_seconds: float,
        may_send: Callable[[], bool],
    ) -> GrantResult:
        """Grant keys to a target for a time from the order's arrival.

        Args:
            pool: The connections to the target.
            target: The name of the target.
            keys: The first and the last key.
            token: The fencing token.
            hold_seconds: The grant duration.
            handover: The handover of the previous owner, which lets the
                target begin without a warm-up.
            timeout_seconds: The longest time to wait for a response.
            may_send: Called right before the order is written, since getting
                a connection may have taken a while. If it returns False, the
                order is not sent.

        Returns:
            The result of the order.
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
        """Take keys from a target and wait until no request runs on them.

        Args:
            pool: The connections to the target.
            target: The name of the target.
            keys: The first and the last key.
            token: A fencing token above that of the target's grant, so that
                the target refuses a grant that arrives late.
            timeout_seconds: The longest time to wait for a response.

        Returns:
            The result of the order.
        """
        ...
