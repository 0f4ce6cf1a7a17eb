"""The platform's store, over HTTP."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any
from urllib.parse import quote, urlencode

import msgspec

from balsamway.exchange import (
    ConnectionPool,
    HttpRequest,
    HttpResponse,
    NotSent,
    ResponseLost,
)
from balsamway.platform import wire_types as wire
from balsamway.store.object_store import Changes, HistoryGone, Listing
from balsamway.store.store import (
    Absent,
    Conflict,
    StoredObject,
    Unavailable,
    WriteUnknown,
    Written,
)

if TYPE_CHECKING:
    from balsamway.store.call_counts import CallCounts
    from balsamway.store.object_store import ListResult, WatchResult
    from balsamway.store.store import ReadResult, WriteResult

CALL_SECONDS = 1.0
"""The longest time for a call; the store answers in 4 ms, and in a quarter
of a second when slow."""
LIST_SECONDS = 0.6
"""The longest time for a listing; bounds how late an outage's end is seen."""
CONNECTIONS = 8
PAGES_AT_MOST = 1_000


class StoreClient:
    """Speaks to the platform's store; implements `ObjectStore`."""

    def __init__(self, address: str, counts: CallCounts) -> None:
        """Prepares the client; connections open with the first call.

        Args:
            address: The store's `ip:port`.
            counts: Counts the calls.
        """
        self._pool = ConnectionPool(address, CONNECTIONS)
        self._host = address.encode()
        self._counts = counts

    async def list(self, kind: str) -> ListResult:
        """Reads all objects of a kind, page by page; see `ObjectStore`."""
        found: list[StoredObject] = []
        after: str | None = None
        revision: int | None = None
        for _ in range(PAGES_AT_MOST):
            query: dict[str, str] = {} if after is None else {"after": after}
            page = await self._get(
                _path(kind, query=query), "list", wire.Page, LIST_SECONDS
            )
            if isinstance(page, Unavailable | Absent):
                return Unavailable(str(page))
            found.extend(one.stored() for one in page.items)
            if revision is None:
                # Changes between the pages are watched for from the first.
                revision = page.revision
            if not page.has_more or not page.items:
                return Listing(tuple(found), revision)
            after = page.items[-1].metadata.name
        return Unavailable("the list does not end")

    async def watch(
        self, kind: str, after_revision: int, wait_seconds: float
    ) -> WatchResult:
        """Waits for changes among the objects of a kind; see `ObjectStore`."""
        query = {"watch": str(after_revision), "waitMs": str(int(wait_seconds * 1000))}
        found = await self._get(
            _path(kind, query=query),
            "watch",
            wire.WatchPage,
            wait_seconds + CALL_SECONDS,
        )
        match found:
            case wire.WatchPage(events=events, revision=revision):
                last = {event.object.metadata.name: event for event in events}
                return Changes(
                    tuple(e.object.stored() for e in last.values() if not e.removed),
                    tuple(name for name, e in last.items() if e.removed),
                    revision,
                )
            case Absent():
                return HistoryGone()
            case _:
                return found

    async def read(self, kind: str, name: str, allow_stale: bool = False) -> ReadResult:
        """Reads one object; see `ObjectStore`."""
        query = {"serializable": "1"} if allow_stale else {}
        found = await self._get(
            _path(kind, name, query), "read-old" if allow_stale else "read", wire.Item
        )
        return found.stored() if isinstance(found, wire.Item) else found

    async def write(
        self, kind: str, name: str, body: bytes, expected_version: int | None
    ) -> WriteResult:
        """Updates one object under a condition; see `ObjectStore`."""
        metadata: dict[str, Any] = {"name": name}
        if expected_version is not None:
            metadata["revision"] = expected_version
        document = {"metadata": metadata, "spec": msgspec.Raw(body)}
        request = HttpRequest(
            "POST" if expected_version is None else "PUT",
            _path(kind, "" if expected_version is None else name),
            (
                (b"Host", self._host),
                (b"Content-Type", b"application/json"),
            ),
            msgspec.json.encode(document),
        )
        result = _write_result(name, await self._call(request, CALL_SECONDS))
        self._counts.count("write", result)
        return result

    async def _get(
        self, path: str, operation: str, cls: type, seconds: float = CALL_SECONDS
    ) -> Any:
        request = HttpRequest("GET", path, ((b"Host", self._host),))
        answer = await self._call(request, seconds)
        result: Any
        match answer:
            case HttpResponse(status=200, body=body):
                try:
                    result = msgspec.json.decode(body, type=cls)
                except msgspec.MsgspecError as error:
                    result = Unavailable(f"unreadable answer: {error}")
            case HttpResponse(status=404 | 410):
                result = Absent(path)
            case HttpResponse(status=status):
                result = Unavailable(f"status {status}")
            case ResponseLost(reason=reason) | NotSent(reason=reason):
                result = Unavailable(reason)
        self._counts.count(operation, result)
        return result

    async def _call(
        self, request: HttpRequest, seconds: float
    ) -> HttpResponse | ResponseLost | NotSent:
        try:
            async with asyncio.timeout(seconds):
                while True:
                    connection = await self._pool.acquire()
                    if isinstance(connection, NotSent):
                        return connection
                    try:
                        answer = await connection.exchange(request)
                    finally:
                        self._pool.release(connection)
                    # A kept connection had closed: nothing was sent.
                    if not isinstance(answer, NotSent):
                        return answer
        except TimeoutError:
            return ResponseLost(f"no answer in {seconds} s")


def _path(kind: str, name: str = "", query: dict[str, str] | None = None) -> str:
    path = f"/objects/{quote(kind)}"
    if name:
        path += f"/{quote(name)}"
    return f"{path}?{urlencode(query)}" if query else path


def _write_result(
    name: str, answer: HttpResponse | ResponseLost | NotSent
) -> Written | Conflict | Unavailable | WriteUnknown:
    match answer:
        case NotSent(reason=reason):
            return Unavailable(reason)
        case ResponseLost(reason=reason):
            return WriteUnknown(reason)
        case HttpResponse(status=429 | 503 as status):
            return Unavailable(f"status {status}")
        case HttpResponse(status=404):
            return Conflict(Absent(name))
        case HttpResponse(status=200 | 201 | 409 as status, body=body):
            try:
                item = msgspec.json.decode(body, type=wire.Item)
            except msgspec.MsgspecError as error:
                return WriteUnknown(f"unreadable answer: {error}")
            if status == 409:
                return Conflict(item.stored())
            return Written(item.metadata.revision)
        case HttpResponse(status=status):
            return WriteUnknown(f"status {status}")
