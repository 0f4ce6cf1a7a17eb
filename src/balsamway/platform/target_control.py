"""Send the leader's orders (grant or release of keys) to targets."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec

from balsamway.exchange import Broken, HttpAnswer, HttpRequest, NotSent
from balsamway.keyspace.order_result import (
    Accepted,
    OrderLost,
    OrderNotSent,
    OtherTarget,
    Outdated,
    Released,
)
from balsamway.platform import names

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.exchange import ConnectionPool
    from balsamway.keyspace.order_result import GrantResult, ReleaseResult


class PlatformTargetControl:
    """Send orders with the platform's calls; implements `TargetControl`."""

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
        """Grant keys to a target for a time; see `TargetControl.grant`."""
        order: dict[str, Any] = {
            "from": keys[0],
            "to": keys[1],
            "fence": token,
            "holdMs": int(hold_seconds * 1000),
        }
        if handover is not None:
            order["handover"] = handover
        response = await _send_order(
            pool, target, names.GRANT_PATH, order, timeout_seconds, may_send
        )
        match response:
            case HttpAnswer(status=200):
                return Accepted()
            case HttpAnswer(status=409):
                return Outdated()
            case HttpAnswer():
                return OrderLost(f"status {response.status}")
            case _:
                return response

    async def release(
        self,
        pool: ConnectionPool,
        target: str,
        keys: tuple[int, int],
        token: int,
        timeout_seconds: float,
    ) -> ReleaseResult:
        """Release keys from a target; see `TargetControl.release`."""
        order = {"from": keys[0], "to": keys[1], "fence": token}
        response = await _send_order(
            pool, target, names.RELEASE_PATH, order, timeout_seconds
        )
        match response:
            case HttpAnswer(status=200):
                return Released(response.headers.get(names.HANDOVER_HEADER))
            case HttpAnswer():
                return OrderLost(f"status {response.status}")
            case _:
                return response


async def _send_order(
    pool: ConnectionPool,
    target: str,
    path: str,
    order: dict[str, Any],
    timeout_seconds: float,
    may_send: Callable[[], bool] = lambda: True,
) -> HttpAnswer | OtherTarget | OrderLost | OrderNotSent:
    """Send one order over a connection of the pool.

    `may_send` is called right before the order is written, since waiting for
    a connection may have taken long.

    Returns:
        The target's response, or why there is no usable one.
    """
    request = HttpRequest(
        "POST",
        path,
        (
            (b"Host", pool.address.encode()),
            (b"Content-Type", b"application/json"),
            (names.TARGET_HEADER.encode(), target.encode()),
        ),
        msgspec.json.encode(order),
    )
    try:
        async with asyncio.timeout(timeout_seconds):
            connection = await pool.acquire()
            if isinstance(connection, NotSent):
                return OrderNotSent(connection.reason)
            try:
                if not may_send():
                    return OrderNotSent("sending the order is no longer allowed")
                response = await connection.exchange(request)
            finally:
                pool.release(connection)
    except TimeoutError:
        return OrderLost(f"no response within {timeout_seconds:.2f} s")
    match response:
        case NotSent(reason=reason):
            return OrderNotSent(reason)
        case Broken(reason=reason):
            return OrderLost(reason)
        case HttpAnswer(status=421):
            responder = response.headers.get(names.ANSWERED_BY_HEADER)
            if responder is not None and responder != target:
                return OtherTarget(responder)
            return OrderLost("status 421")
    return response
