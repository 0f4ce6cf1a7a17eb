"""Client for the platform's list of hosts over HTTP."""

from __future__ import annotations

import aiohttp
import mode
import msgspec

from balsamway.store.call_counts import CallCounts
from balsamway.store.host import Host
from balsamway.store.http_store import (
    CALL_TIMEOUT_SECONDS,
    CONNECT_TIMEOUT_SECONDS,
    ZONE_HEADER,
)
from balsamway.store.store import Unavailable


class HttpHostList(mode.Service):
    """Read the platform's host list over HTTP; implements `HostList`."""

    def __init__(
        self, base_url: str, zone: str = "", counts: CallCounts | None = None
    ) -> None:
        """Create the client; the connection is opened by the first call.

        Args:
            base_url: The platform's address, as `http://ip:port`.
            zone: This host's availability zone, which is sent to the platform
                with each call.
            counts: The metrics that each call is counted in.
        """
        super().__init__()
        self._url = f"{base_url.rstrip('/')}/hosts"
        self._headers = {ZONE_HEADER: zone} if zone else {}
        self._counts = counts or CallCounts()
        self._session: aiohttp.ClientSession | None = None

    async def on_stop(self) -> None:
        """Close the connection."""
        await self.close()

    async def close(self) -> None:
        """Close the connection; allowed before the service was started."""
        if self._session is not None:
            await self._session.close()
        self._session = None

    async def hosts(self) -> tuple[Host, ...] | Unavailable:
        """Read the list; see `HostList.hosts`."""
        result = await self._read()
        self._counts.count("hosts", result)
        return result

    async def _read(self) -> tuple[Host, ...] | Unavailable:
        if self._session is None:
            self._session = aiohttp.ClientSession(headers=self._headers)
        timeout = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT_SECONDS, sock_connect=CONNECT_TIMEOUT_SECONDS
        )
        try:
            async with self._session.get(self._url, timeout=timeout) as response:
                if response.status != 200:
                    return Unavailable(f"status {response.status}")
                body = await response.read()
            return msgspec.json.decode(body, type=tuple[Host, ...])
        except (aiohttp.ClientError, OSError, msgspec.MsgspecError) as error:
            return Unavailable(str(error) or type(error).__name__)
