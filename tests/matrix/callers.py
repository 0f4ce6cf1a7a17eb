from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from balsamway.gateway.caller_request import CallerRequest
from balsamway.outcome import Completed, MayHaveRun, NotRun
from balsamway.slices import POSITION_END, position_of
from balsamway.standins.journal import AnswerCheck, Told, ToldVerdict

if TYPE_CHECKING:
    from balsamway.outcome import Verdict
    from tests.matrix.entry_host import EntryHost
    from tests.matrix.world import World

KEYS = 8
CALL_SECONDS = 0.1
TIMEOUT_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class Probe:
    """One request, as it ended."""

    key: str
    gateway: str
    owner: str
    """The target that held the key when the request began."""
    start: float
    end: float
    served: bool
    counted: bool
    """Whether the host could have served it: it was not cut off."""


class Callers:
    """Sends a request for each key in turn, through one host after another.

    Platforms' balancers leave out hosts that do not answer: requests go only
    to hosts that run, and one that was paused or lost in the meantime counts
    as no request at all.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self.keys = _keys_over_all_positions()
        self.probes: list[Probe] = []
        self.told: list[Told] = []
        self.uncounted: set[str] = set()
        """Hosts that are cut off, whose requests need not be served."""
        self._count = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._last: dict[str, bool] = {}

    def all_served(self) -> bool:
        """Tells whether the last request for each key was served."""
        return len(self._last) == KEYS and all(self._last.values())

    def start(self) -> None:
        self._keep(asyncio.create_task(self._call_all()))

    async def _call_all(self) -> None:
        while True:
            for key in self.keys:
                self._call(key)
            await asyncio.sleep(CALL_SECONDS)

    def _call(self, key: str) -> None:
        hosts = [
            entry
            for _, entry in sorted(self._world.entry.items())
            if not entry.process.paused
        ]
        if not hosts:
            return
        self._count += 1
        entry = hosts[self._count % len(hosts)]
        idempotent = (self._count // KEYS + self._count) % 2 == 0
        request = self._request(entry, key, f"r{self._count}", idempotent)
        self._keep(asyncio.create_task(request))

    async def _request(
        self, entry: EntryHost, key: str, request_id: str, idempotent: bool
    ) -> None:
        workspace = entry.configuration.workspace("m")
        if workspace is None:
            return
        service = workspace.services[0]
        kind = next(one for one in service.kinds if one.idempotent == idempotent)
        start = self._world.now
        owner = self._world.owner_of(position_of(key))
        request = CallerRequest(
            workspace, service, kind, request_id, key, start + TIMEOUT_SECONDS, b"x"
        )
        work = entry.process.start(entry.gateway.handle(request))
        done, _ = await asyncio.wait([work], timeout=TIMEOUT_SECONDS + 0.5)
        if entry.process.lost or entry.process.paused:
            self._tell(request, ToldVerdict.NO_ANSWER, "", start)
            return
        if not done:
            self._tell(request, ToldVerdict.NO_ANSWER, "late", start)
            served = False
        else:
            served = self._judge(request, work.result(), start)
        counted = entry.name not in self.uncounted
        if counted:
            self._last[key] = served
        end = self._world.now
        self.probes.append(Probe(key, entry.name, owner, start, end, served, counted))

    def _judge(self, request: CallerRequest, verdict: Verdict, start: float) -> bool:
        match verdict:
            case Completed(body=body):
                self._tell(request, ToldVerdict.COMPLETED, "", start, body)
                return True
            case NotRun(reason=reason):
                self._tell(request, ToldVerdict.NOT_RUN, reason, start)
            case MayHaveRun(reason=reason):
                self._tell(request, ToldVerdict.MAY_HAVE_RUN, reason, start)
        return False

    def _tell(
        self,
        request: CallerRequest,
        verdict: ToldVerdict,
        reason: str,
        start: float,
        body: bytes = b"",
    ) -> None:
        self.told.append(
            Told(
                workspace=request.workspace.workspace,
                service=request.service.name,
                kind=request.kind.name,
                request_id=request.request_id,
                key=request.key,
                idempotent=request.kind.idempotent,
                verdict=verdict,
                reason=reason,
                status=200 if body else 0,
                answer=_check_answer(request, body),
                start=start,
                end=self._world.now,
            )
        )

    def _keep(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _check_answer(request: CallerRequest, body: bytes) -> AnswerCheck:
    if not body:
        return AnswerCheck.NONE
    fields = msgspec.json.decode(body)
    if (fields["request_id"], fields["key"]) != (request.request_id, request.key):
        return AnswerCheck.SWAPPED
    return AnswerCheck.WHOLE


def _keys_over_all_positions() -> tuple[str, ...]:
    found: dict[int, str] = {}
    number = 0
    while len(found) < KEYS:
        key = f"k{number}"
        found.setdefault(position_of(key) * KEYS // POSITION_END, key)
        number += 1
    return tuple(found[part] for part in range(KEYS))
