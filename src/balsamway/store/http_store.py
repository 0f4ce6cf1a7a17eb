"""Client for the platform's object store over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

import aiohttp
import mode

from balsamway.store.call_counts import CallCounts
from balsamway.store.store import (
    Absent,
    Conflict,
    ReadResult,
    StoredObject,
    Unavailable,
    WriteResult,
    WriteUnknown,
    Written,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping

CONNECT_TIMEOUT_SECONDS = 1.0
"""The longest time to open a connection to the platform."""
CALL_TIMEOUT_SECONDS = 3.0
"""The longest time for a call, beyond what a watch waits for a change."""
VERSION_HEADER = "Balsamway-Version"
"""The response header with the version of the returned object."""
ZONE_HEADER = "Balsamway-Zone"
"""The request header with the availability zone of the calling host."""


class HttpStore(mode.Service):
    """Call the platform's object store over HTTP; implements `Store`.

    A write is sent at most once. Its body is a stream that can't be read
    again, which keeps `aiohttp` from retrying the write by itself. The retry
    of a write that took effect would be refused with a conflict, which hides
    that the write took effect. Each write also opens a connection of its own.
    On an idle connection that the platform has just closed, it would be
    unknown whether the write took effect.
    """

    def __init__(
        self,
        base_url: str,
        zone: str = "",
        counts: CallCounts | None = None,
        call_timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> None:
        """Create the client; connections are opened by calls.

        Args:
            base_url: The platform's address, as `http://ip:port`.
            zone: This host's availability zone, which is sent to the platform
                with each call.
            counts: The metrics that each call is counted in.
            call_timeout_seconds: The longest time for a call, beyond what a
                watch waits for a change.
        """
        super().__init__()
        self._base_url = base_url.rstrip("/")
        self._headers = {ZONE_HEADER: zone} if zone else {}
        self._counts = counts or CallCounts()
        self._call_timeout_seconds = call_timeout_seconds
        self._read_session: aiohttp.ClientSession | None = None
        self._write_session: aiohttp.ClientSession | None = None

    async def on_stop(self) -> None:
        """Close the connections."""
        await self.close()

    async def close(self) -> None:
        """Close the connections; allowed before the service was started."""
        for session in (self._read_session, self._write_session):
            if session is not None:
                await session.close()
        self._read_session = self._write_session = None

    async def read(self, name: str) -> ReadResult:
        """Read one object; see `Store.read`."""
        result = await self._get(name, {}, 0.0)
        self._counts.count("read", result)
        return result

    async def watch(
        self, name: str, after_version: int | None, timeout_seconds: float
    ) -> ReadResult:
        """Wait until an object changes; see `Store.watch`."""
        query = {"watch": str(after_version or 0), "timeout": f"{timeout_seconds:g}"}
        self._counts.watch_opened()
        try:
            result = await self._get(name, query, timeout_seconds)
        finally:
            self._counts.watch_closed()
        self._counts.count("watch", result)
        return result

    async def write(
        self, name: str, body: bytes, expected_version: int | None
    ) -> WriteResult:
        """Update one object conditionally; see `Store.write`."""
        result = await self._put(name, body, expected_version)
        self._counts.count("write", result)
        return result

    async def _get(
        self, name: str, query: Mapping[str, str], wait_seconds: float
    ) -> ReadResult:
        if self._read_session is None:
            self._read_session = aiohttp.ClientSession(headers=self._headers)
        try:
            async with self._read_session.get(
                self._url(name),
                params=query,
                timeout=self._timeout(wait_seconds),
                allow_redirects=False,
            ) as response:
                return await _read_result(name, response)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Unavailable(_describe(error))

    async def _put(
        self, name: str, body: bytes, expected_version: int | None
    ) -> WriteResult:
        if self._write_session is None:
            connector = aiohttp.TCPConnector(force_close=True)
            self._write_session = aiohttp.ClientSession(
                headers=self._headers, connector=connector
            )
        try:
            async with self._write_session.put(
                self._url(name),
                data=_stream(body),
                headers=_put_headers(body, expected_version),
                allow_redirects=False,
                timeout=self._timeout(0.0),
            ) as response:
                return await _write_result(name, response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Unavailable(_describe(error))
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return WriteUnknown(_describe(error))

    def _url(self, name: str) -> str:
        return f"{self._base_url}/objects/{quote(name)}"

    def _timeout(self, wait_seconds: float) -> aiohttp.ClientTimeout:
        return aiohttp.ClientTimeout(
            total=wait_seconds + self._call_timeout_seconds,
            sock_connect=CONNECT_TIMEOUT_SECONDS,
        )


async def _stream(body: bytes) -> AsyncIterator[bytes]:
    yield body


def _put_headers(body: bytes, expected_version: int | None) -> dict[str, str]:
    headers = {
        "Content-Length": str(len(body)),
        "Content-Type": "application/octet-stream",
    }
    if expected_version is None:
        return headers | {"If-None-Match": "*"}
    return headers | {"If-Match": str(expected_version)}


async def _read_result(name: str, response: aiohttp.ClientResponse) -> ReadResult:
    if response.status == 404:
        return Absent(name)
    if response.status != 200:
        return Unavailable(f"status {response.status}")
    version = int(response.headers.get(VERSION_HEADER, ""))
    return StoredObject(name, version, await response.read())


async def _write_result(name: str, response: aiohttp.ClientResponse) -> WriteResult:
    if response.status == 200:
        return Written(int(response.headers.get(VERSION_HEADER, "")))
    if response.status == 412:
        return Conflict(await _current_object(name, response))
    if response.status == 503:
        return Unavailable("status 503")
    return WriteUnknown(f"status {response.status}")


async def _current_object(
    name: str, response: aiohttp.ClientResponse
) -> StoredObject | Absent:
    version = response.headers.get(VERSION_HEADER)
    if version is None:
        return Absent(name)
    return StoredObject(name, int(version), await response.read())


def _describe(error: BaseException) -> str:
    return str(error) or type(error).__name__
