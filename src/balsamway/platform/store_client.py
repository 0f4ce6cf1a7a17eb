"""Client for the platform's store over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import quote, urlencode

import msgspec

from balsamway.exchange import HttpRequest, HttpResponse, NotSent, ResponseLost
from balsamway.outcome import Malformed
from balsamway.platform import names
from balsamway.platform import wire_types as wire
from balsamway.platform.page_decoder import UNREADABLE_NAME, decode_response
from balsamway.store.era import era_of, revision_of, version_of
from balsamway.store.object_store import Changes, HistoryGone, Listing
from balsamway.store.store import (
    Absent,
    Conflict,
    StoredObject,
    Unavailable,
    WriteUnknown,
    Written,
)
from balsamway.store.store_connections import StoreConnections

if TYPE_CHECKING:
    from balsamway.store.call_counts import CallCounts
    from balsamway.store.object_store import ListResult, WatchResult
    from balsamway.store.store import ReadResult, WriteResult

CALL_TIMEOUT_SECONDS = 1.0
"""The longest time for a call, beyond what a watch waits. The store responds
in 4 ms, and in a quarter of a second when it is slow."""
LIST_TIMEOUT_SECONDS = 0.6
"""The longest time for one page of a list. It bounds how late the end of an
outage is detected."""
MAX_PAGES = 1_000
"""The maximum number of pages that are read of one list."""


class StoreClient:
    """Call the platform's store over HTTP; implements `ObjectStore`."""

    def __init__(self, address: str, counts: CallCounts) -> None:
        """Create the client; connections are opened by calls.

        Args:
            address: The store's `ip:port`.
            counts: The metrics that each call is counted in.
        """
        self._connections = StoreConnections(address, names.STORE_ERA_HEADER, counts)
        self._host = address.encode()
        self._counts = counts

    @property
    def era(self) -> int:
        """The highest era of the store that a response named."""
        return self._connections.era

    async def list(self, kind: str) -> ListResult:
        """Read all objects of a kind, page by page; see `ObjectStore.list`."""
        objects: list[StoredObject] = []
        after: str | None = None
        revision: int | None = None
        for _ in range(MAX_PAGES):
            query: dict[str, str] = {} if after is None else {"after": after}
            page, era = await self._get(
                _path(kind, query=query), "list", wire.Page, LIST_TIMEOUT_SECONDS
            )
            if isinstance(page, Unavailable | Absent):
                return Unavailable(str(page))
            objects.extend(item.to_stored_object(era) for item in page.items)
            if revision is None:
                # The first page's revision makes a later watch return the
                # changes that happen between the pages.
                revision = version_of(era, page.revision)
            if era_of(revision) != era:
                return Unavailable("the store was restored between two pages")
            if not page.has_more or not page.items:
                return Listing(tuple(objects), revision)
            names = [
                item.metadata.name
                for item in page.items
                if item.metadata.name != UNREADABLE_NAME
            ]
            if not names:
                return Unavailable("no name on a page of the list can be read")
            after = names[-1]
        return Unavailable("the list has more pages than are read")

    async def watch(
        self, kind: str, after_revision: int, wait_seconds: float
    ) -> WatchResult:
        """Wait for changes of objects of a kind; see `ObjectStore.watch`."""
        if era_of(after_revision) < self.era:
            return HistoryGone()
        after = revision_of(after_revision)
        query = {"watch": str(after), "waitMs": str(int(wait_seconds * 1000))}
        result, era = await self._get(
            _path(kind, query=query),
            "watch",
            wire.WatchPage,
            wait_seconds + CALL_TIMEOUT_SECONDS,
        )
        match result:
            case wire.WatchPage() if era != era_of(after_revision):
                return HistoryGone()
            case wire.WatchPage(events=events, revision=revision):
                last_events = {event.object.metadata.name: event for event in events}
                return Changes(
                    tuple(
                        event.object.to_stored_object(era)
                        for event in last_events.values()
                        if not event.removed
                    ),
                    tuple(name for name, event in last_events.items() if event.removed),
                    version_of(era, revision),
                )
            case Absent():
                return HistoryGone()
            case _:
                return result

    async def read(self, kind: str, name: str, allow_stale: bool = False) -> ReadResult:
        """Read one object; see `ObjectStore.read`."""
        query = {"serializable": "1"} if allow_stale else {}
        result, era = await self._get(
            _path(kind, name, query), "read-old" if allow_stale else "read", wire.Item
        )
        match result:
            case wire.Item():
                return result.to_stored_object(era)
            case Absent(name=absent_name):
                return Absent(absent_name, era)
            case _:
                return result

    async def write(
        self, kind: str, name: str, body: bytes, expected_version: int | None
    ) -> WriteResult:
        """Update one object conditionally; see `ObjectStore.write`."""
        if expected_version is not None and era_of(expected_version) < self.era:
            # The store compares revisions only, and a restored one gives them
            # out again.
            found = await self.read(kind, name)
            return found if isinstance(found, Unavailable) else Conflict(found)
        metadata: dict[str, Any] = {"name": name}
        if expected_version is not None:
            metadata["revision"] = revision_of(expected_version)
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
        response = await self._connections.call(request, CALL_TIMEOUT_SECONDS)
        result = await _write_result(name, response, self._connections.era_of(response))
        self._counts.count("write", result)
        return result

    async def _get(
        self,
        path: str,
        operation: str,
        cls: type,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> tuple[Any, int]:
        """Send a GET request and decode the response body as `cls`.

        Returns:
            The decoded body; `Absent` for status 404 or 410; `Unavailable`
            for everything else. Also the era of the store that responded.
        """
        request = HttpRequest("GET", path, ((b"Host", self._host),))
        result: Any
        match response := await self._connections.call(request, timeout_seconds):
            case HttpResponse(status=200, body=body):
                result = await decode_response(body, cls)
                if isinstance(result, Malformed):
                    result = Unavailable(f"undecodable response: {result.reason}")
            case HttpResponse(status=404 | 410):
                result = Absent(path)
            case HttpResponse(status=status):
                result = Unavailable(f"status {status}")
            case ResponseLost(reason=reason) | NotSent(reason=reason):
                result = Unavailable(reason)
        era = self._connections.era_of(response)
        if era < self.era:
            result = Unavailable(f"response of era {era} after era {self.era}")
        self._counts.count(operation, result)
        return result, era


def _path(kind: str, name: str = "", query: dict[str, str] | None = None) -> str:
    path = f"/objects/{quote(kind)}"
    if name:
        path += f"/{quote(name)}"
    return f"{path}?{urlencode(query)}" if query else path


async def _write_result(
    name: str, response: HttpResponse | ResponseLost | NotSent, era: int
) -> Written | Conflict | Unavailable | WriteUnknown:
    match response:
        case NotSent(reason=reason):
            return Unavailable(reason)
        case ResponseLost(reason=reason):
            return WriteUnknown(reason)
        case HttpResponse(status=429 | 503 as status):
            return Unavailable(f"status {status}")
        case HttpResponse(status=404):
            return Conflict(Absent(name, era))
        case HttpResponse(status=200 | 201 | 409 as status, body=body):
            item = await decode_response(body, wire.Item)
            if isinstance(item, Malformed):
                return WriteUnknown(f"undecodable response: {item.reason}")
            if status == 409:
                return Conflict(item.to_stored_object(era))
            return Written(version_of(era, item.metadata.revision))
        case HttpResponse(status=status):
            return WriteUnknown(f"status {status}")
