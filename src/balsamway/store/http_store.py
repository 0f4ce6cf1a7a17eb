"""The platform's object store, over HTTP."""

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
CALL_TIMEOUT_SECONDS = 3.0
VERSION_HEADER = "Balsamway-Version"
ZONE_HEADER = "Balsamway-Zone"


class HttpStore(mode.Service):
    """Calls the platform's object store over HTTP.

    A write is sent once: its body is a stream that cannot be read again, so
    that `aiohttp` does not repeat it by itself, which would hide a change
    that took effect behind a conflict. Each write also has a connection of
    its own, since one that the platform has just closed would leave the end
    of the write unknown.
    """

    def __init__(
        self,
        base_url: str,
        zone: str = "",
        counts: CallCounts | None = None,
        call_timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> None:
        """Prepares the client; connections open at the first call.

        Args:
            base_url: The platform's address, as `http://ip:port`.
            zone: The caller's availability zone, told to the platform.
            counts: Counts the calls.
            call_timeout_seconds: The longest time that a call may take,
                beyond what a watch waits.
        """
        super().__init__()
        self._base_url = base_url.rstrip("/")
        self._headers = {ZONE_HEADER: zone} if zone else {}
        self._counts = counts or CallCounts()
        self._call_timeout = call_timeout_seconds
        self._reading: aiohttp.ClientSession | None = None
        self._writing: aiohttp.ClientSession | None = None

    async def on_stop(self) -> None:
        """Closes the connections."""
        await self.close()

    async def close(self) -> None:
        """Closes the connections, also where the service was not started."""
        for session in (self._reading, self._writing):
            if session is not None:
                await session.close()
        self._reading = self._writing = None

    async def read(self, name: str) -> ReadResult:
        """Reads one object.

        Args:
            name: The object's name, with slashes between its parts.

        Returns:
            The object, or why there is none.
        """
        result = await self._get(name, {}, 0.0)
        self._counts.count("read", result)
        return result

    async def watch(
        self, name: str, after_version: int | None, timeout_seconds: float
    ) -> ReadResult:
        """Waits until an object has another version than the one known.

        Args:
            name: The object's name.
            after_version: The version known; None for an absent object.
            timeout_seconds: The longest time to wait.

        Returns:
            The object as it then is, changed or not.
        """
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
        """Updates one object if its version is the expected one.

        Args:
            name: The object's name.
            body: The new value, at most one megabyte.
            expected_version: The version to replace; None where the object
                must not exist yet.

        Returns:
            Whether the update took effect.
        """
        result = await self._put(name, body, expected_version)
        self._counts.count("write", result)
        return result

    async def _get(
        self, name: str, query: Mapping[str, str], wait_seconds: float
    ) -> ReadResult:
        if self._reading is None:
            self._reading = aiohttp.ClientSession(headers=self._headers)
        try:
            async with self._reading.get(
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
        if self._writing is None:
            connector = aiohttp.TCPConnector(force_close=True)
            self._writing = aiohttp.ClientSession(
                headers=self._headers, connector=connector
            )
        try:
            async with self._writing.put(
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
            total=wait_seconds + self._call_timeout,
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
        return Conflict(await _current(name, response))
    if response.status == 503:
        return Unavailable("status 503")
    return WriteUnknown(f"status {response.status}")


async def _current(
    name: str, response: aiohttp.ClientResponse
) -> StoredObject | Absent:
    version = response.headers.get(VERSION_HEADER)
    if version is None:
        return Absent(name)
    return StoredObject(name, int(version), await response.read())


def _describe(error: BaseException) -> str:
    return str(error) or type(error).__name__
