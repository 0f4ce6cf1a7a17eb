"""Send the leader's orders (grant or release of keys) to targets."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

import msgspec

from balsamway.exchange import HttpRequest, HttpResponse, NotSent, ResponseLost
from balsamway.keyspace.order_response_doubts import OrderResponseDoubts
from balsamway.keyspace.order_result import (
    Accepted,
    OrderLost,
    OrderNotSent,
    Released,
    TokenOutdated,
    WrongTarget,
)
from balsamway.platform import names

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.exchange import ConnectionPool, TargetConnection
    from balsamway.keyspace.order_result import GrantResult, ReleaseResult

logger = logging.getLogger(__name__)


class PlatformTargetControl:
    """Send orders with the platform's calls; implements `TargetControl`.

    A faulty target may repeat the response to an earlier order on the same
    connection, and no response names its order. A response that may be such a
    repetition counts as lost.
    """

    def __init__(self) -> None:
        """Create a control that has sent nothing yet."""
        self._doubts = OrderResponseDoubts()

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
        """Grant keys to a target for a time; see `TargetControl.grant`."""
        order: dict[str, Any] = {
            "from": keys[0],
            "to": keys[1],
            "fence": token,
            "holdMs": int(grant_seconds * 1000),
        }
        if handover is not None:
            order["handover"] = handover
        response = await self._send_order(
            pool, target, names.GRANT_PATH, order, timeout_seconds, may_send
        )
        match response:
            case HttpResponse(status=200):
                return Accepted()
            case HttpResponse(status=409):
                return TokenOutdated()
            case HttpResponse():
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
        response = await self._send_order(
            pool, target, names.RELEASE_PATH, order, timeout_seconds
        )
        match response:
            case HttpResponse(status=200):
                return Released(response.headers.get(names.HANDOVER_HEADER))
            case HttpResponse():
                return OrderLost(f"status {response.status}")
            case _:
                return response

    async def _send_order(
        self,
        pool: ConnectionPool,
        target: str,
        path: str,
        order: dict[str, Any],
        timeout_seconds: float,
        may_send: Callable[[], bool] = lambda: True,
    ) -> HttpResponse | WrongTarget | OrderLost | OrderNotSent:
        """Send one order over a connection of the pool.

        `may_send` is called right before the order is written, since waiting
        for a connection may have taken long.

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
                    if isinstance(response, HttpResponse):
                        response = self._check_response(connection, request, response)
                finally:
                    pool.release(connection)
        except TimeoutError:
            return OrderLost(f"no response within {timeout_seconds:.2f} s")
        match response:
            case NotSent(reason=reason):
                return OrderNotSent(reason)
            case ResponseLost(reason=reason):
                return OrderLost(reason)
            case HttpResponse(status=421):
                responder = response.headers.get(names.ANSWERED_BY_HEADER)
                if responder is not None and responder != target:
                    return WrongTarget(responder)
                return OrderLost("status 421")
        return response

    def _check_response(
        self,
        connection: TargetConnection,
        request: HttpRequest,
        response: HttpResponse,
    ) -> HttpResponse | ResponseLost:
        """Return the response, or `ResponseLost` if it may be a repetition."""
        doubt = self._doubts.check(
            connection,
            request.path == names.GRANT_PATH,
            response.status == 200,
            response.headers.get(names.HANDOVER_HEADER),
        )
        if doubt is None and response.status == 200:
            return response
        connection.close()
        if doubt is None:
            return response
        logger.info(
            "order-response-doubted",
            extra={"path": request.path, "status": response.status, "reason": doubt},
        )
        return ResponseLost(doubt)
