"""Gives orders to targets over HTTP."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec

from balsamway.targets.orders import GrantReport, OrderLost, OrderRefused

if TYPE_CHECKING:
    from balsamway.store import Host
    from balsamway.targets.orders import (
        GrantOrder,
        OrderResult,
        ReleaseOrder,
        SurveyOrder,
    )

KEEPALIVE_SECONDS = 60.0


class HttpControl:
    """Carries orders to targets over one long-lived connection to each.

    A release is answered only when the runs in it have ended, so releases go
    over a connection of their own, which is closed after each: a grant never
    waits behind one.
    """

    def __init__(self) -> None:
        self._renewals: aiohttp.ClientSession | None = None
        self._releases: aiohttp.ClientSession | None = None

    async def grant(
        self, target: Host, order: GrantOrder, timeout_seconds: float
    ) -> OrderResult:
        """Gives a target its grant, or renews it.

        Args:
            target: The target to order.
            order: The grant.
            timeout_seconds: The longest time to wait for the answer.

        Returns:
            The target's state, its refusal, or that no answer came.
        """
        return await self._order(target, "grant", order, timeout_seconds)

    async def release(
        self, target: Host, order: ReleaseOrder, timeout_seconds: float
    ) -> OrderResult:
        """Takes ranges from a target and waits for the runs in them to end.

        Args:
            target: The target to order.
            order: The ranges to take.
            timeout_seconds: The longest time to wait for the answer.

        Returns:
            The target's state, its refusal, or that no answer came.
        """
        if self._releases is None:
            self._releases = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=0, limit_per_host=1, force_close=True
                ),
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return await _post(self._releases, target, "release", order, timeout_seconds)

    async def survey(
        self, target: Host, order: SurveyOrder, timeout_seconds: float
    ) -> OrderResult:
        """Asks a target what it holds, and announces the leader epoch.

        Args:
            target: The target to ask.
            order: The leader epoch to announce.
            timeout_seconds: The longest time to wait for the answer.

        Returns:
            The target's state, its refusal, or that no answer came.
        """
        return await self._order(target, "survey", order, timeout_seconds)

    async def close(self) -> None:
        """Closes every connection."""
        for session in (self._renewals, self._releases):
            if session is not None:
                await session.close()

    async def _order(
        self, target: Host, verb: str, order: Any, timeout_seconds: float
    ) -> OrderResult:
        if self._renewals is None:
            self._renewals = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=0, limit_per_host=1, keepalive_timeout=KEEPALIVE_SECONDS
                ),
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return await _post(self._renewals, target, verb, order, timeout_seconds)


async def _post(
    session: aiohttp.ClientSession,
    target: Host,
    verb: str,
    order: Any,
    timeout_seconds: float,
) -> OrderResult:
    url = f"http://{target.address}/control/{verb}"
    body = msgspec.json.encode(order)
    headers = {"Content-Type": "application/json"}
    try:
        async with (
            asyncio.timeout(timeout_seconds),
            session.post(
                url, data=body, headers=headers, allow_redirects=False
            ) as response,
        ):
            return _result(response.status, await response.read())
    except TimeoutError:
        return OrderLost("no answer in time")
    except (aiohttp.ClientError, OSError) as error:
        return OrderLost(type(error).__name__)


def _result(status: int, body: bytes) -> OrderResult:
    try:
        match status:
            case 200:
                return msgspec.json.decode(body, type=GrantReport)
            case 409:
                return msgspec.json.decode(body, type=OrderRefused)
    except msgspec.MsgspecError:
        return OrderLost("the answer cannot be read")
    return OrderLost(f"status {status}")
