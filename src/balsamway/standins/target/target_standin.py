"""Simulates a target that serves requests and applies the leader's orders."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
import weakref
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec
from aiohttp import web

from balsamway.standins.drop_connection import drop_connection
from balsamway.standins.http_standin import HttpStandin
from balsamway.standins.journal import StopAsked
from balsamway.standins.json_body import json_answer, merge_json, read_json
from balsamway.standins.target.attempt import Attempt, parse_attempt
from balsamway.standins.target.attempt_result import AttemptApplied, AttemptRefused
from balsamway.standins.target.grant_table import GrantTable
from balsamway.standins.target.pause import Pause
from balsamway.standins.target.request_runner import RequestRunner
from balsamway.standins.target.target_faults import TargetFaults
from balsamway.standins.target.target_journal import TargetJournal
from balsamway.store import Host, HostRole, HostState
from balsamway.targets.orders import (
    GrantOrder,
    GrantReport,
    OrderRefused,
    ReleaseOrder,
    SurveyOrder,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamway.standins.journal import Journal
    from balsamway.standins.target.target_settings import TargetSettings

DRAIN_POLL_INTERVAL_SECONDS = 0.02
"""The interval at which a draining target checks whether it can stop."""


class TargetStandin(HttpStandin):
    """Runs requests under grants and records each grant and run in a journal.

    Orders are grants, releases and surveys sent by the leader.

    Args:
        settings: The settings, with the faults that are on at the start.
    """

    def __init__(self, settings: TargetSettings) -> None:
        super().__init__(settings.listen, settings.connection_limit)
        self._settings = settings
        self._faults = settings.faults
        self._pause = Pause()
        self._journal = TargetJournal(
            settings.name, settings.clock_offset_seconds, settings.journal_file
        )
        self._grants = GrantTable(settings.checks_grants, self._journal.grants)
        self._requests = RequestRunner(
            settings,
            self._grants,
            self._pause,
            random.Random(settings.seed),
            self._journal.add_run,
        )
        self._used_connections: weakref.WeakSet[Any] = weakref.WeakSet()
        self._started_at = 0.0
        self._is_draining = False

    @property
    def name(self) -> str:
        """The target's name."""
        return self._settings.name

    @property
    def host(self) -> Host:
        """The target's entry in the platform's host list."""
        return Host(
            name=self._settings.name,
            role=HostRole.TARGET,
            zone=self._settings.zone,
            address=self.address,
            workspace=self._settings.workspace,
            service=self._settings.service,
            state=HostState.LEAVING if self._is_draining else HostState.LIVE,
        )

    @property
    def journal(self) -> Journal:
        """All records, including the grants that are still held."""
        return self._journal.read()

    @property
    def faults(self) -> TargetFaults:
        """The faults that are on."""
        return self._faults

    @faults.setter
    def faults(self, faults: TargetFaults) -> None:
        self._faults = faults
        self._pause.set_frozen(faults.frozen)

    @property
    def has_drained(self) -> bool:
        """Whether the target is draining, with no grant or request left."""
        if not self._is_draining or self._requests.in_progress:
            return False
        return self._grants.all_expired(self._target_time())

    def routes(self) -> Iterable[web.RouteDef]:
        """Return the routes for requests, orders, health and controls."""
        return [
            web.post("/requests/{service}/{kind}", self._post_request),
            web.delete("/requests/{request_id}", self._delete_request),
            web.post("/control/grant", self._post_grant),
            web.post("/control/release", self._post_release),
            web.post("/control/survey", self._post_survey),
            web.get("/health", self._get_health),
            web.get("/standin/journal", self._get_journal),
            web.get("/standin/faults", self._get_faults),
            web.post("/standin/faults", self._post_faults),
            web.post("/standin/leave", self._post_leave),
        ]

    async def on_start(self) -> None:
        """Start to listen and register the target at the platform."""
        self._journal.open()
        await super().on_start()
        self._started_at = self._now()
        self._pause.set_frozen(self._faults.frozen)
        await self._register_at_platform()

    async def on_stop(self) -> None:
        """Drain for up to `drain_seconds`, then cut off remaining requests."""
        if self._settings.drain_seconds:
            await self._drain()
        self._requests.is_stopping = True
        await super().on_stop()
        self._journal.close()

    async def leave(self) -> None:
        """Begin to drain: announce the planned stop and go on serving.

        The leader moves the target's slices; see `wait_drained`.
        """
        if self._is_draining:
            return
        self._is_draining = True
        self._journal.add_stop(StopAsked(self.name, self._now()))
        await self._register_at_platform()

    async def wait_drained(self) -> None:
        """Wait until the draining target has no grant or request left."""
        while not self.has_drained:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_SECONDS)

    async def _drain(self) -> None:
        await self.leave()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._settings.drain_seconds):
                await self.wait_drained()

    def dump(self) -> dict[str, object]:
        """Return the state of the stand-in for the state dump."""
        return {
            "name": self.name,
            "address": self.address,
            "leaving": self._is_draining,
            "load": self._requests.load,
            "connections": self.connection_count,
            "refused_connections": self.refused_connections,
            "attempts": self._journal.run_count,
        }

    async def _post_request(self, request: web.Request) -> web.Response:
        await self._pause.wait()
        await self._delay_new_connection(request)
        body = await request.read()
        attempt = parse_attempt(request.match_info, request.headers, body, self._now())
        runner = self._requests
        runner.shedding = self._faults.shedding
        runner.slowness = self._current_slowness()
        result = await runner.run(attempt)
        await self._pause.wait()
        match result:
            case AttemptApplied(counter):
                return self._build_response(request, attempt, counter)
            case AttemptRefused(reason):
                return _build_refusal(attempt, reason)

    async def _delay_new_connection(self, request: web.Request) -> None:
        if request.transport in self._used_connections:
            return
        self._used_connections.add(request.transport)
        await asyncio.sleep(self._settings.connection_seconds)

    def _current_slowness(self) -> float:
        if self._is_in_cold_start():
            return self._faults.slowness * self._settings.cold_start_slowness
        return self._faults.slowness

    def _is_in_cold_start(self) -> bool:
        age = self._now() - self._started_at
        return age < self._settings.cold_start_seconds

    def _build_response(
        self, request: web.Request, attempt: Attempt, counter: int
    ) -> web.Response:
        if self._faults.lose_answers:
            drop_connection(request)
        request_id = attempt.request_id
        if self._faults.swap_answers:
            request_id = f"other-{request_id[:32]}"
        headers = _build_verdict_headers(request_id, "completed")
        content = {
            "request_id": request_id,
            "key": attempt.key,
            "counter": counter,
            "target": self.name,
            "body_size": attempt.body_size,
        }
        if self._faults.truncate_answers:
            self._send_truncated(request, headers, msgspec.json.encode(content))
        return json_answer(content, headers=headers)

    def _send_truncated(
        self, request: web.Request, headers: dict[str, str], body: bytes
    ) -> None:
        size = len(body)
        lines = ["HTTP/1.1 200 OK", f"Content-Length: {size}"]
        lines.extend("{}: {}".format(*header) for header in headers.items())
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        if request.transport is not None:
            request.transport.write(head + body[: len(body) // 2])
            request.transport.close()
        raise web.HTTPServiceUnavailable

    async def _delete_request(self, request: web.Request) -> web.Response:
        await self._pause.wait()
        attempt_id = request.headers.get("Balsamway-Attempt", "")
        outcome = self._requests.cancel(request.match_info["request_id"], attempt_id)
        return json_answer({"outcome": outcome, "attempt": attempt_id})

    async def _post_grant(self, request: web.Request) -> web.Response:
        await self._admit_order()
        order = await read_json(request, GrantOrder)
        return self._build_order_response(
            self._grants.grant(order, self._target_time())
        )

    async def _post_release(self, request: web.Request) -> web.Response:
        await self._admit_order()
        order = await read_json(request, ReleaseOrder)
        result = self._grants.release(order, self._target_time())
        if isinstance(result, GrantReport):
            await self._requests.wait_until_idle(order.shard, order.ranges)
            result = self._grants.report(order.shard, self._target_time())
        return self._build_order_response(result)

    async def _post_survey(self, request: web.Request) -> web.Response:
        await self._admit_order()
        order = await read_json(request, SurveyOrder)
        return self._build_order_response(
            self._grants.survey(order, self._target_time())
        )

    async def _admit_order(self) -> None:
        await self._pause.wait()
        if self._faults.refuse_orders:
            raise web.HTTPServiceUnavailable(text="orders are refused")

    def _build_order_response(self, result: GrantReport | OrderRefused) -> web.Response:
        match result:
            case GrantReport():
                return json_answer(
                    dataclasses.replace(result, leaving=self._is_draining)
                )
            case OrderRefused():
                return json_answer(result, status=409)

    async def _get_health(self, request: web.Request) -> web.Response:
        await self._pause.wait()
        health = {
            "state": self._faults.reported_state or self._actual_state(),
            "load": self._reported_load(),
            "in_flight": self._requests.in_progress,
            "connections": self.connection_count,
        }
        return json_answer(health)

    def _actual_state(self) -> str:
        if self._is_draining:
            return "draining"
        return "warming" if self._is_in_cold_start() else "ready"

    def _reported_load(self) -> float:
        if self._faults.reported_load is not None:
            return self._faults.reported_load
        return self._requests.load

    async def _get_journal(self, request: web.Request) -> web.Response:
        return json_answer(self.journal)

    async def _get_faults(self, request: web.Request) -> web.Response:
        return json_answer(self._faults)

    async def _post_faults(self, request: web.Request) -> web.Response:
        self.faults = await merge_json(request, self._faults)
        return json_answer(self._faults)

    async def _post_leave(self, request: web.Request) -> web.Response:
        await self.leave()
        return json_answer(self.host)

    async def _register_at_platform(self) -> None:
        if not self._settings.platform:
            return
        url = f"{self._settings.platform}/standin/hosts/{self.name}"
        async with aiohttp.ClientSession(raise_for_status=True) as session:
            await session.put(url, data=msgspec.json.encode(self.host))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _target_time(self) -> float:
        return self._now() + self._settings.clock_offset_seconds


def _build_verdict_headers(request_id: str, verdict: str) -> dict[str, str]:
    return {"Balsamway-Request-Id": request_id, "Balsamway-Verdict": verdict}


def _build_refusal(attempt: Attempt, reason: str) -> web.Response:
    headers = _build_verdict_headers(attempt.request_id, "not-run")
    headers["Balsamway-Reason"] = reason
    return json_answer({"reason": reason}, status=503, headers=headers)
