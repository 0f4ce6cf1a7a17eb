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
    from tests.matrix.matrix_deployment import MatrixDeployment

KEY_COUNT = 8
CALL_INTERVAL_SECONDS = 0.1
TIMEOUT_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class Probe:
    """The result of one request."""

    key: str
    gateway: str
    owner: str
    """The target that owned the key when the request began."""
    start: float
    end: float
    served: bool
    counted: bool
    """Whether the host was not partitioned and so had to serve it."""


class Callers:
    """Send requests for all keys through the entry hosts in turn.

    Load balancers skip hosts that do not respond, so requests go only to
    running hosts. A request whose host was paused or lost in the meantime is
    left out of the probes.
    """

    def __init__(self, deployment: MatrixDeployment) -> None:
        self._deployment = deployment
        self.keys = _choose_spread_keys()
        self.probes: list[Probe] = []
        self.told: list[Told] = []
        self.uncounted_hosts: set[str] = set()
        """Partitioned hosts, whose requests need not be served."""
        self._count = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_served: dict[str, bool] = {}

    def all_served(self) -> bool:
        """Return whether the last request for each key was served."""
        return len(self._last_served) == KEY_COUNT and all(self._last_served.values())

    def start(self) -> None:
        self._track(asyncio.create_task(self._call_all()))

    async def _call_all(self) -> None:
        while True:
            for key in self.keys:
                self._call(key)
            await asyncio.sleep(CALL_INTERVAL_SECONDS)

    def _call(self, key: str) -> None:
        hosts = [
            entry
            for _, entry in sorted(self._deployment.entry_hosts.items())
            if not entry.process.paused
        ]
        if not hosts:
            return
        self._count += 1
        entry = hosts[self._count % len(hosts)]
        idempotent = (self._count // KEY_COUNT + self._count) % 2 == 0
        request = self._request(entry, key, f"r{self._count}", idempotent)
        self._track(asyncio.create_task(request))

    async def _request(
        self, entry: EntryHost, key: str, request_id: str, idempotent: bool
    ) -> None:
        workspace = entry.configuration.workspace("m")
        if workspace is None:
            return
        service = workspace.services[0]
        kind = next(kind for kind in service.kinds if kind.idempotent == idempotent)
        start = self._deployment.now
        owner = self._deployment.owner_of(position_of(key))
        request = CallerRequest(
            workspace, service, kind, request_id, key, start + TIMEOUT_SECONDS, b"x"
        )
        handling = entry.process.start(entry.gateway.handle(request))
        done, _ = await asyncio.wait([handling], timeout=TIMEOUT_SECONDS + 0.5)
        if entry.process.lost or entry.process.paused:
            self._record_verdict(request, ToldVerdict.NO_ANSWER, "", start)
            return
        if not done:
            self._record_verdict(request, ToldVerdict.NO_ANSWER, "late", start)
            served = False
        else:
            served = self._is_served(request, handling.result(), start)
        counted = entry.name not in self.uncounted_hosts
        if counted:
            self._last_served[key] = served
        end = self._deployment.now
        self.probes.append(Probe(key, entry.name, owner, start, end, served, counted))

    def _is_served(
        self, request: CallerRequest, verdict: Verdict, start: float
    ) -> bool:
        match verdict:
            case Completed(body=body):
                self._record_verdict(request, ToldVerdict.COMPLETED, "", start, body)
                return True
            case NotRun(reason=reason):
                self._record_verdict(request, ToldVerdict.NOT_RUN, reason, start)
            case MayHaveRun(reason=reason):
                self._record_verdict(request, ToldVerdict.MAY_HAVE_RUN, reason, start)
        return False

    def _record_verdict(
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
                answer=_check_response(request, body),
                start=start,
                end=self._deployment.now,
            )
        )

    def _track(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _check_response(request: CallerRequest, body: bytes) -> AnswerCheck:
    if not body:
        return AnswerCheck.NONE
    fields = msgspec.json.decode(body)
    if (fields["request_id"], fields["key"]) != (request.request_id, request.key):
        return AnswerCheck.SWAPPED
    return AnswerCheck.WHOLE


def _choose_spread_keys() -> tuple[str, ...]:
    key_by_part: dict[int, str] = {}
    number = 0
    while len(key_by_part) < KEY_COUNT:
        key = f"k{number}"
        key_by_part.setdefault(position_of(key) * KEY_COUNT // POSITION_END, key)
        number += 1
    return tuple(key_by_part[part] for part in range(KEY_COUNT))
