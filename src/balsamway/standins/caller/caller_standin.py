"""Simulates the callers of a workspace."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import aiohttp
import mode
import msgspec

from balsamway.standins.caller.zipf_keys import ZipfKeys
from balsamway.standins.journal import AnswerCheck, Journal, Told, ToldVerdict
from balsamway.standins.target.journal_file import JournalFile

if TYPE_CHECKING:
    from balsamway.standins.caller.call_kind import CallKind
    from balsamway.standins.caller.caller_settings import CallerSettings

COMPLETION_POLL_INTERVAL_SECONDS = 0.02
"""The interval at which waiting methods check whether all calls have ended."""


class CallerStandin(mode.Service):
    """Sends requests at random times that do not depend on earlier responses.

    Args:
        settings: The settings, with the mix and the rate of requests.
    """

    def __init__(self, settings: CallerSettings) -> None:
        super().__init__()
        self._settings = settings
        self._rng = random.Random(settings.seed)
        self._keys = ZipfKeys(settings, self._rng)
        self._session: aiohttp.ClientSession | None = None
        self._results: list[Told] = []
        self._calls: set[asyncio.Task[None]] = set()
        self._sent = 0
        self._skipped = 0
        self._is_sending = True
        self._file = JournalFile(settings.journal_file)

    @property
    def journal(self) -> Journal:
        """The record of each request as its caller saw it."""
        return Journal(told=tuple(self._results))

    @property
    def sent(self) -> int:
        """The number of requests sent."""
        return self._sent

    @property
    def skipped(self) -> int:
        """The number of requests skipped because too many were in flight."""
        return self._skipped

    async def on_start(self) -> None:
        """Open the journal file and the HTTP session."""
        self._file.open()
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=30.0)
        self._session = aiohttp.ClientSession(connector=connector)

    async def on_stop(self) -> None:
        """Wait for the calls in flight, then close session and file."""
        await self.finish()
        if self._session is not None:
            await self._session.close()
        self._file.close()

    async def finish(self) -> None:
        """Stop sending and wait until all requests in flight have ended."""
        self._is_sending = False
        while self._calls:
            await asyncio.sleep(COMPLETION_POLL_INTERVAL_SECONDS)

    async def wait_done(self) -> None:
        """Wait until sending has ended and no request is in flight."""
        while self._is_sending or self._calls:
            await asyncio.sleep(COMPLETION_POLL_INTERVAL_SECONDS)

    def change_hot_set(self) -> None:
        """Draw a new set of hot keys."""
        self._keys.change_hot_set()

    def dump(self) -> dict[str, object]:
        """Return the state of the stand-in for the state dump."""
        return {
            "sent": self._sent,
            "skipped": self._skipped,
            "in_flight": len(self._calls),
        }

    @mode.Service.task
    async def _send_requests(self) -> None:
        loop = asyncio.get_running_loop()
        start = due = loop.time()
        while self._is_sending and not self.should_stop:
            due += self._rng.expovariate(self._settings.requests_per_second)
            if self._settings.seconds and due - start > self._settings.seconds:
                self._is_sending = False
                return
            if due > loop.time():
                await asyncio.sleep(due - loop.time())
            self._start_call()

    @mode.Service.task
    async def _change_hot_sets(self) -> None:
        period = self._settings.hot_change_seconds
        while period and not self.should_stop:
            await self.sleep(period)
            self.change_hot_set()

    def _start_call(self) -> None:
        if len(self._calls) >= self._settings.in_flight_limit:
            self._skipped += 1
            return
        self._sent += 1
        kinds = self._settings.kinds
        kind = self._rng.choices(kinds, [kind.share for kind in kinds])[0]
        request_id = f"{self._settings.workspace}-{self._settings.seed}-{self._sent}"
        gateway = self._rng.choice(self._settings.gateways)
        key = self._keys.draw(kind.service)
        call = asyncio.ensure_future(self._record_call(gateway, kind, key, request_id))
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)

    async def _record_call(
        self, gateway: str, kind: CallKind, key: str, request_id: str
    ) -> None:
        start = asyncio.get_running_loop().time()
        verdict, reason, status, check = await self._send_call(
            gateway, kind, key, request_id
        )
        told = Told(
            workspace=self._settings.workspace,
            service=kind.service,
            kind=kind.kind,
            request_id=request_id,
            key=key,
            idempotent=kind.idempotent,
            verdict=verdict,
            reason=reason,
            status=status,
            answer=check,
            start=start,
            end=asyncio.get_running_loop().time(),
        )
        self._results.append(told)
        self._file.write("told", told)

    async def _send_call(
        self, gateway: str, kind: CallKind, key: str, request_id: str
    ) -> tuple[ToldVerdict, str, int, AnswerCheck]:
        assert self._session is not None
        headers = {
            "Authorization": f"Bearer {self._settings.token}",
            "Balsamway-Key": key,
            "Balsamway-Request-Id": request_id,
            "Balsamway-Timeout-Ms": str(int(kind.timeout_seconds * 1000)),
        }
        url = f"http://{gateway}/v1/{kind.service}/{kind.kind}"
        total_timeout = kind.timeout_seconds + self._settings.grace_seconds
        try:
            async with self._session.post(
                url,
                data=b"x" * kind.body_bytes,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=total_timeout),
            ) as response:
                return await _read_response(response, request_id, key)
        except aiohttp.ClientConnectorError as error:
            return ToldVerdict.UNREACHED, str(error), 0, AnswerCheck.NONE
        except aiohttp.ClientPayloadError as error:
            return ToldVerdict.NO_ANSWER, str(error), 0, AnswerCheck.TRUNCATED
        except (aiohttp.ClientError, TimeoutError) as error:
            return ToldVerdict.NO_ANSWER, str(error), 0, AnswerCheck.NONE


async def _read_response(
    response: aiohttp.ClientResponse, request_id: str, key: str
) -> tuple[ToldVerdict, str, int, AnswerCheck]:
    body = await response.read()
    verdict_header = response.headers.get("Balsamway-Verdict", "")
    reason = response.headers.get("Balsamway-Reason", "")
    if verdict_header not in (
        ToldVerdict.NOT_RUN,
        ToldVerdict.MAY_HAVE_RUN,
        "completed",
    ):
        return ToldVerdict.NO_ANSWER, "no verdict", response.status, AnswerCheck.NONE
    verdict = ToldVerdict(verdict_header)
    check = AnswerCheck.NONE
    if verdict is ToldVerdict.COMPLETED:
        check = _check_body(body, request_id, key)
    if response.headers.get("Balsamway-Request-Id") != request_id:
        check = AnswerCheck.SWAPPED
    return verdict, reason, response.status, check


def _check_body(body: bytes, request_id: str, key: str) -> AnswerCheck:
    try:
        fields = msgspec.json.decode(body, type=dict[str, str | int])
    except (msgspec.DecodeError, msgspec.ValidationError):
        return AnswerCheck.TRUNCATED
    if fields.get("request_id") != request_id:
        return AnswerCheck.SWAPPED
    # Targets without exclusive keys do not receive the key.
    if fields.get("key") not in (key, ""):
        return AnswerCheck.SWAPPED
    return AnswerCheck.WHOLE
