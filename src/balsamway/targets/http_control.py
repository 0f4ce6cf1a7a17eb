"""Send the orders of a leader to targets over HTTP.

An order is a grant, release or survey sent by the leader.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec

from balsamway.targets.bounded_read import read_bounded
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
"""How long an idle connection to a target stays open."""


class HttpControl:
    """Send orders to targets over one persistent connection to each.

    A target responds to a release only when the requests in its ranges have
    ended. Releases therefore use a separate connection, which is closed after
    each, so that a grant never waits behind a release.
    """

    def __init__(self) -> None:
        self._grant_session: aiohttp.ClientSession | None = None
        self._release_session: aiohttp.ClientSession | None = None

    async def grant(
        self, target: Host, order: GrantOrder, timeout_seconds: float
    ) -> OrderResult:
        """Send a target its grant, or renew it.

        Args:
            target: The target to send the order to.
            order: The grant.
            timeout_seconds: The maximum time to wait for the response.

        Returns:
            The target's grants, its refusal, or `OrderLost` if no usable
            response came.
        """
        return await self._send(target, "grant", order, timeout_seconds)

    async def release(
        self, target: Host, order: ReleaseOrder, timeout_seconds: float
    ) -> OrderResult:
        """Release ranges of a target after the requests in them have ended.

        Args:
            target: The target to send the order to.
            order: The ranges to release.
            timeout_seconds: The maximum time to wait for the response.

        Returns:
            The target's grants, its refusal, or `OrderLost` if no usable
            response came.
        """
        if self._release_session is None:
            self._release_session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=0, limit_per_host=1, force_close=True
                ),
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return await _post(
            self._release_session, target, "release", order, timeout_seconds
        )

    async def survey(
        self, target: Host, order: SurveyOrder, timeout_seconds: float
    ) -> OrderResult:
        """Query the grants of a target and announce the leader epoch.

        Args:
            target: The target to send the order to.
            order: The leader epoch to announce.
            timeout_seconds: The maximum time to wait for the response.

        Returns:
            The target's grants, its refusal, or `OrderLost` if no usable
            response came.
        """
        return await self._send(target, "survey", order, timeout_seconds)

    async def close(self) -> None:
        """Close every connection."""
        for session in (self._grant_session, self._release_session):
            if session is not None:
                await session.close()

    async def _send(
        self, target: Host, name: str, order: Any, timeout_seconds: float
    ) -> OrderResult:
        if self._grant_session is None:
            self._grant_session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=0, limit_per_host=1, keepalive_timeout=KEEPALIVE_SECONDS
                ),
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return await _post(self._grant_session, target, name, order, timeout_seconds)


async def _post(
    session: aiohttp.ClientSession,
    target: Host,
    name: str,
    order: Any,
    timeout_seconds: float,
) -> OrderResult:
    url = f"http://{target.address}/control/{name}"
    body = msgspec.json.encode(order)
    headers = {"Content-Type": "application/json"}
    try:
        async with (
            asyncio.timeout(timeout_seconds),
            session.post(
                url, data=body, headers=headers, allow_redirects=False
            ) as response,
        ):
            return _parse_response(response.status, await read_bounded(response))
    except TimeoutError:
        return OrderLost("no answer in time")
    except (aiohttp.ClientError, OSError) as error:
        return OrderLost(type(error).__name__)


def _parse_response(status: int, body: bytes) -> OrderResult:
    try:
        match status:
            case 200:
                return msgspec.json.decode(body, type=GrantReport)
            case 409:
                return msgspec.json.decode(body, type=OrderRefused)
    except msgspec.MsgspecError:
        return OrderLost("the answer cannot be read")
    return OrderLost(f"status {status}")
