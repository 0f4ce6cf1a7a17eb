"""Orders to the platform's targets: keys that they hold, or no longer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec

from balsamway.exchange import HttpRequest, HttpResponse, NotSent, ResponseLost
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

    from balsamway.exchange import ConnectionPool
    from balsamway.keyspace.order_result import GrantResult, ReleaseResult


class PlatformTargetControl:
    """Implements `TargetControl` with the platform's calls."""

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
        """Lets a target hold keys for a time; see `TargetControl`."""
        order: dict[str, Any] = {
            "from": keys[0],
            "to": keys[1],
            "fence": token,
            "holdMs": int(grant_seconds * 1000),
        }
        if handover is not None:
            order["handover"] = handover
        answer = await _order(
            pool, target, names.GRANT_PATH, order, timeout_seconds, may_send
        )
        match answer:
            case HttpResponse(status=200):
                return Accepted()
            case HttpResponse(status=409):
                return TokenOutdated()
            case HttpResponse():
                return OrderLost(f"status {answer.status}")
            case _:
                return answer

    async def release(
        self,
        pool: ConnectionPool,
        target: str,
        keys: tuple[int, int],
        token: int,
        timeout_seconds: float,
    ) -> ReleaseResult:
        """Takes keys back; see `TargetControl`."""
        order = {"from": keys[0], "to": keys[1], "fence": token}
        answer = await _order(pool, target, names.RELEASE_PATH, order, timeout_seconds)
        match answer:
            case HttpResponse(status=200):
                return Released(answer.headers.get(names.HANDOVER))
            case HttpResponse():
                return OrderLost(f"status {answer.status}")
            case _:
                return answer


async def _order(
    pool: ConnectionPool,
    target: str,
    path: str,
    order: dict[str, Any],
    timeout_seconds: float,
    may_send: Callable[[], bool] = lambda: True,
) -> HttpResponse | WrongTarget | OrderLost | OrderNotSent:
    request = HttpRequest(
        "POST",
        path,
        (
            (b"Host", pool.address.encode()),
            (b"Content-Type", b"application/json"),
            (names.TARGET.encode(), target.encode()),
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
                    return OrderNotSent("no longer allowed")
                answer = await connection.exchange(request)
            finally:
                pool.release(connection)
    except TimeoutError:
        return OrderLost(f"no answer in {timeout_seconds:.2f} s")
    match answer:
        case NotSent(reason=reason):
            return OrderNotSent(reason)
        case ResponseLost(reason=reason):
            return OrderLost(reason)
        case HttpResponse(status=421):
            other = answer.headers.get(names.ANSWERED_BY)
            if other is not None and other != target:
                return WrongTarget(other)
            return OrderLost("status 421")
    return answer
