"""An HTTP server that stands in for the platform."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from aiohttp import web

from balsamway.standins.drop_connection import drop_connection
from balsamway.standins.http_standin import HttpStandin
from balsamway.standins.json_body import json_answer, merge_json, read_json
from balsamway.standins.platform.call_counts import CallCounts
from balsamway.standins.platform.host_table import HostTable
from balsamway.standins.platform.object_table import ObjectTable
from balsamway.standins.platform.platform_faults import PlatformFaults
from balsamway.standins.platform.rate_limit import RateLimit
from balsamway.store import Conflict, Host, StoredObject, Written

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamway.standins.platform.platform_settings import PlatformSettings
    from balsamway.store import Absent

MAX_WATCH_SECONDS = 60.0
"""How long a watch waits at most, and by default."""
MAX_OBJECT_BYTES = 1_000_000
"""The size of an object at most; larger updates are refused with 413."""
VERSION_HEADER = "Balsamway-Version"
ZONE_HEADER = "Balsamway-Zone"


class PlatformStandin(HttpStandin):
    """Serves an object store and a host list, and simulates faults.

    Args:
        settings: The address, the hosts and the faults to start with.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        super().__init__(settings.listen)
        self._zones_by_address = settings.zones_by_address
        self._objects = ObjectTable()
        self._hosts = HostTable(settings.hosts)
        self._faults = settings.faults
        self._counts = CallCounts()
        self._read_limit = RateLimit()
        self._write_limit = RateLimit()

    @property
    def counts(self) -> CallCounts:
        """The counts of calls since the start."""
        return self._counts

    @property
    def faults(self) -> PlatformFaults:
        """The faults that are simulated."""
        return self._faults

    @faults.setter
    def faults(self, faults: PlatformFaults) -> None:
        self._faults = faults

    def routes(self) -> Iterable[web.RouteDef]:
        """Return the routes that are served."""
        return [
            web.get("/objects/{name:.+}", self._get_object),
            web.put("/objects/{name:.+}", self._put_object),
            web.get("/hosts", self._get_hosts),
            web.put("/standin/hosts/{name}", self._put_host),
            web.delete("/standin/hosts/{name}", self._delete_host),
            web.get("/standin/faults", self._get_faults),
            web.post("/standin/faults", self._post_faults),
            web.get("/standin/counts", self._get_counts),
        ]

    def put_host(self, host: Host) -> None:
        """Add a host to the list, or replace its entry.

        Args:
            host: The host.
        """
        self._hosts.put(host, self._now())

    def remove_host(self, name: str) -> None:
        """Remove a host from the list.

        Args:
            name: The host's name.
        """
        self._hosts.remove(name, self._now())

    def dump(self) -> dict[str, object]:
        """Return the state of the stand-in for the state dump."""
        return {
            "address": self.address,
            "open_watches": self._counts.open_watches,
            "hosts": len(self._hosts.at(self._now())),
        }

    async def _get_object(self, request: web.Request) -> web.Response:
        if "watch" in request.query:
            return await self._watch_object(request)
        self._counts.reads += 1
        await self._admit(request, self._read_limit, self._faults.reads_per_second)
        return self._object_response(self._objects.get(request.match_info["name"]))

    async def _watch_object(self, request: web.Request) -> web.Response:
        self._counts.watches += 1
        await self._admit(request, self._read_limit, self._faults.reads_per_second)
        name = request.match_info["name"]
        known_version, timeout = _watch_parameters(request)
        self._counts.open_watches += 1
        try:
            await self._objects.wait_for_change(name, known_version, timeout)
        finally:
            self._counts.open_watches -= 1
        self._check_availability(request)
        return self._object_response(self._objects.get(name))

    async def _put_object(self, request: web.Request) -> web.Response:
        self._counts.writes += 1
        body = await request.read()
        if len(body) > MAX_OBJECT_BYTES:
            raise web.HTTPRequestEntityTooLarge(MAX_OBJECT_BYTES, len(body))
        expected = _expected_version(request)
        return await asyncio.shield(self._update(request, body, expected))

    async def _update(
        self, request: web.Request, body: bytes, expected: int | None
    ) -> web.Response:
        await self._admit(request, self._write_limit, self._faults.writes_per_second)
        name = request.match_info["name"]
        if self._faults.apply_late_seconds > 0:
            self.add_future(self._update_after_delay(name, body, expected))
            drop_connection(request)
        result = self._objects.update(name, body, expected)
        if self._faults.lose_answers:
            drop_connection(request)
        match result:
            case Written(version):
                return web.Response(headers={VERSION_HEADER: str(version)})
            case Conflict(current):
                self._counts.conflicts += 1
                return self._object_response(current, conflict=True)

    async def _update_after_delay(
        self, name: str, body: bytes, expected: int | None
    ) -> None:
        await asyncio.sleep(self._faults.apply_late_seconds)
        self._objects.update(name, body, expected)

    async def _get_hosts(self, request: web.Request) -> web.Response:
        self._counts.host_lists += 1
        await self._admit(request, self._read_limit, self._faults.reads_per_second)
        time = self._now() - self._faults.host_list_lag_seconds
        return json_answer(self._hosts.at(time))

    async def _put_host(self, request: web.Request) -> web.Response:
        host = await read_json(request, Host)
        if host.name != request.match_info["name"]:
            raise web.HTTPBadRequest(text="the name differs from the path")
        self.put_host(host)
        return json_answer(host)

    async def _delete_host(self, request: web.Request) -> web.Response:
        self.remove_host(request.match_info["name"])
        return web.Response(status=204)

    async def _get_faults(self, request: web.Request) -> web.Response:
        return json_answer(self._faults)

    async def _post_faults(self, request: web.Request) -> web.Response:
        self._faults = await merge_json(request, self._faults)
        return json_answer(self._faults)

    async def _get_counts(self, request: web.Request) -> web.Response:
        return json_answer(self._counts)

    async def _admit(
        self, request: web.Request, limit: RateLimit, per_second: float | None
    ) -> None:
        self._check_availability(request)
        if not limit.admit(self._now(), per_second):
            self._refuse("rate")
        if self._faults.delay_seconds > 0:
            await asyncio.sleep(self._faults.delay_seconds)
            self._check_availability(request)

    def _check_availability(self, request: web.Request) -> None:
        zone = request.headers.get(ZONE_HEADER)
        if zone is None:
            zone = self._zones_by_address.get(request.remote or "")
        if zone in self._faults.cut_zones:
            drop_connection(request)
        if self._faults.outage:
            self._refuse("outage")

    def _refuse(self, reason: str) -> None:
        self._counts.refused += 1
        raise web.HTTPServiceUnavailable(text=reason)

    def _object_response(
        self, found: StoredObject | Absent, conflict: bool = False
    ) -> web.Response:
        if not isinstance(found, StoredObject):
            return web.Response(status=412 if conflict else 404)
        headers: dict[str, Any] = {VERSION_HEADER: str(found.version)}
        return web.Response(
            status=412 if conflict else 200,
            body=found.body,
            headers=headers,
            content_type="application/octet-stream",
        )

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _watch_parameters(request: web.Request) -> tuple[int, float]:
    try:
        known_version = int(request.query["watch"])
        timeout = float(request.query.get("timeout", MAX_WATCH_SECONDS))
    except ValueError as error:
        raise web.HTTPBadRequest(text="watch and timeout are numbers") from error
    return known_version, min(timeout, MAX_WATCH_SECONDS)


def _expected_version(request: web.Request) -> int | None:
    if request.headers.get("If-None-Match") == "*":
        return None
    try:
        return int(request.headers["If-Match"])
    except (KeyError, ValueError) as error:
        raise web.HTTPPreconditionRequired(text="If-Match: VERSION") from error
