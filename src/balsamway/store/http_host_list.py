"""The platform's list of hosts, over HTTP."""

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
    """Reads the platform's list of hosts over HTTP."""

    def __init__(
        self, base_url: str, zone: str = "", counts: CallCounts | None = None
    ) -> None:
        """Prepares the client; the connection opens at the first call.

        Args:
            base_url: The platform's address, as `http://ip:port`.
            zone: The caller's availability zone, told to the platform.
            counts: Counts the calls.
        """
        super().__init__()
        self._url = f"{base_url.rstrip('/')}/hosts"
        self._headers = {ZONE_HEADER: zone} if zone else {}
        self._counts = counts or CallCounts()
        self._session: aiohttp.ClientSession | None = None

    async def on_stop(self) -> None:
        """Closes the connection."""
        await self.close()

    async def close(self) -> None:
        """Closes the connection, also where the service was not started."""
        if self._session is not None:
            await self._session.close()
        self._session = None

    async def hosts(self) -> tuple[Host, ...] | Unavailable:
        """Reads the list.

        Returns:
            Every host listed, or why the list could not be read.
        """
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
