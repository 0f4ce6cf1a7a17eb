"""This host's part in keeping requests that end targets from others."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import mode

from balsamway.clock import now
from balsamway.observe.line_limit import LineLimit
from balsamway.outcome import NotRun, Reason
from balsamway.quarantine.decision import Allowed, Isolated, Quarantined
from balsamway.quarantine.fingerprint import fingerprint
from balsamway.quarantine.messages import (
    SuspicionCleared,
    TargetEnded,
    TrialRequest,
    TrialResponse,
)
from balsamway.quarantine.suspect_table import SuspectTable
from balsamway.quarantine.trials import TRIAL_SECONDS, Trials

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable, Iterable

    from balsamway.discovery import TargetEntry
    from balsamway.entry import EntryRequest
    from balsamway.peers.peers import Peers
    from balsamway.quarantine.quarantine_metrics import QuarantineMetrics

CLEAN_UP_INTERVAL_SECONDS = 5.0
"""The interval at which expired suspicions are removed."""
TRIAL_RESPONSE_TIMEOUT_SECONDS = 0.2
"""The longest wait for the leader's answer about a trial."""
TRIAL_CHANCE = 1 / 200
"""The chance of a trial on one host in each `TRIAL_SECONDS` while no leader
responds. The largest deployment has 195 hosts, which try once together."""
MAX_LINES_PER_SECOND = 20
"""Bounds the log lines about refused requests."""
MAX_LOGGED_REQUESTS = 8
"""Bounds the requests that a log line about an end names."""
MAX_PATH_CHARACTERS = 200
"""Bounds the logged part of a request's path, in characters."""

logger = logging.getLogger(__name__)


class Quarantine(mode.Service):
    """Shares the ends of targets among all hosts and refuses their causes.

    A report goes to the leader, which passes it on to every host. A host that
    reaches no leader decides by the ends that it has noticed itself.
    """

    def __init__(
        self,
        host: str,
        peers: Peers,
        leader: Callable[[], str | None],
        followers: Callable[[], Iterable[str]],
        is_refusing: Callable[[str], Awaitable[bool]],
        metrics: QuarantineMetrics,
        rng: random.Random | None = None,
    ) -> None:
        """Create the service and register its handlers.

        Args:
            host: The name of this host.
            peers: The connections to the other entry hosts.
            leader: Returns the name of the leader, None if it is not known.
            followers: Returns the hosts to pass reports on to as leader.
            is_refusing: Returns whether an address refuses connections.
            metrics: Counts the ends and the refused requests.
            rng: Decides about trials while no leader responds; without it,
                there are none then.
        """
        super().__init__()
        self._host = host
        self._peers = peers
        self._leader = leader
        self._followers = followers
        self._is_refusing = is_refusing
        self._metrics = metrics
        self._rng = rng
        self._table = SuspectTable()
        self._trials = Trials()
        self._chances = Trials()
        """The trials that this host decided about without a leader."""
        self._lost: dict[tuple[str, int], dict[int, EntryRequest]] = {}
        """The lost requests of each target whose end is being confirmed."""
        self._confirmations: dict[tuple[str, int], asyncio.Future[None]] = {}
        self._line_limit = LineLimit(logger, MAX_LINES_PER_SECOND)
        peers.register_handler(TargetEnded, self._on_target_ended)
        peers.register_handler(SuspicionCleared, self._on_suspicion_cleared)
        peers.register_handler(TrialRequest, self._on_trial_request)

    async def admit(self, request: EntryRequest) -> NotRun | None:
        """Return why a request must not be sent now, or None if it may be.

        After a quarantine, the leader lets one host at a time try the request.

        Args:
            request: The request, which is sent at once unless it is refused.
        """
        if self._table.is_empty:
            return None
        leader = self._leader()
        suspect = fingerprint(request)
        if (
            leader in (None, self._host)
            or not isinstance(self._table.decide(suspect, now()), Allowed)
            or not self._table.is_on_probation(suspect, now())
        ):
            return self.refusal(request)
        response = await self._peers.call(
            leader, TrialRequest(suspect), TRIAL_RESPONSE_TIMEOUT_SECONDS
        )
        match response:
            case TrialResponse(is_allowed=is_allowed):
                pass
            case _:
                is_allowed = self._may_try_by_chance(suspect)
        if is_allowed:
            return None
        return self._refuse(request, suspect, "probation", TRIAL_SECONDS)

    def early_refusal(self, request: EntryRequest) -> NotRun | None:
        """Return why a request that has just arrived need not be routed.

        It takes no trial: a request on probation is decided about in `admit`,
        right before it is sent.

        Args:
            request: The request.
        """
        if self._table.is_empty:
            return None
        suspect = fingerprint(request)
        decision = self._table.decide(suspect, now())
        if isinstance(decision, Allowed):
            return None
        return self._refuse_suspect(request, suspect, decision)

    def refusal(self, request: EntryRequest) -> NotRun | None:
        """Return why a request must not be sent without asking the leader.

        Args:
            request: The request.
        """
        if self._table.is_empty:
            return None
        suspect = fingerprint(request)
        decision = self._table.decide(suspect, now())
        if isinstance(decision, Allowed):
            if not self._table.is_on_probation(suspect, now()):
                return None
            if self._may_try(suspect):
                return None
            return self._refuse(request, suspect, "probation", TRIAL_SECONDS)
        return self._refuse_suspect(request, suspect, decision)

    def _refuse_suspect(
        self, request: EntryRequest, suspect: int, decision: Isolated | Quarantined
    ) -> NotRun:
        kind = "isolated" if isinstance(decision, Isolated) else "quarantined"
        return self._refuse(request, suspect, kind, decision.retry_after_seconds)

    def _refuse(
        self, request: EntryRequest, suspect: int, kind: str, retry_after_seconds: float
    ) -> NotRun:
        self._metrics.count_refused(kind)
        if self._line_limit.allow():
            logger.warning(
                "request-quarantined",
                extra={
                    "request_id": request.request_id,
                    "fingerprint": f"{suspect:016x}",
                    "decision": kind,
                    "path": request.path[:MAX_PATH_CHARACTERS],
                    "retry_after": round(retry_after_seconds, 3),
                },
            )
        return NotRun(
            Reason.QUARANTINED,
            f"targets ended under {suspect:016x}",
            retry_after_seconds,
        )

    def _may_try(self, suspect: int) -> bool:
        """Decide about a trial without a message."""
        leader = self._leader()
        if leader == self._host:
            return self._trials.take(suspect, now())
        return leader is None and self._may_try_by_chance(suspect)

    def _may_try_by_chance(self, suspect: int) -> bool:
        if self._rng is None or not self._chances.take(suspect, now()):
            return False
        return self._rng.random() < TRIAL_CHANCE

    def on_answered(self, request: EntryRequest) -> None:
        """Clear a request that a target has answered.

        Args:
            request: The request.
        """
        if self._table.is_empty:
            return
        suspect = fingerprint(request)
        if self._table.clear(suspect):
            logger.info("suspicion-cleared", extra={"fingerprint": f"{suspect:016x}"})
            self._send(SuspicionCleared(suspect))

    async def on_lost(self, request: EntryRequest, target: TargetEntry) -> None:
        """Report a request whose connection was lost, if its target ended.

        Returns once the report is sent, so that it goes ahead of the caller's
        retry. A target that still accepts connections has not ended.

        Args:
            request: The request.
            target: The target that it was sent to.
        """
        self._lost.setdefault(target.key, {})[fingerprint(request)] = request
        confirmation = self._confirmations.get(target.key)
        if confirmation is None:
            confirmation = asyncio.ensure_future(self._confirm(target))
            self._confirmations[target.key] = confirmation
        await asyncio.shield(confirmation)

    def dump(self) -> dict[str, object]:
        """Return the suspects for the state dump."""
        return self._table.dump(now())

    @mode.Service.task
    async def _clean_up_periodically(self) -> None:
        while not self.should_stop:
            await self.sleep(CLEAN_UP_INTERVAL_SECONDS)
            self._table.remove_expired(now())
            self._trials.remove_expired(now())
            self._chances.remove_expired(now())

    async def _confirm(self, target: TargetEntry) -> None:
        try:
            has_ended = await self._is_refusing(target.address)
        finally:
            del self._confirmations[target.key]
            lost = self._lost.pop(target.key)
        if not has_ended:
            return
        self._metrics.count_end()
        logger.warning(
            "target-ended",
            extra={
                "target": target.name,
                "incarnation": target.incarnation,
                "requests": len(lost),
                "under": {
                    f"{suspect:016x}": request.path[:MAX_PATH_CHARACTERS]
                    for suspect, request in list(lost.items())[:MAX_LOGGED_REQUESTS]
                },
            },
        )
        self._table.record(target.key, lost, now())
        self._send(TargetEnded(target.name, target.incarnation, tuple(lost)))

    def _send(self, report: TargetEnded | SuspicionCleared) -> None:
        leader = self._leader()
        if leader == self._host:
            self._relay(self._host, report)
        elif leader is not None:
            self._peers.send(leader, report)

    def _relay(self, sender: str, report: TargetEnded | SuspicionCleared) -> None:
        relayed = replace(report, is_relayed=True)
        for host in self._followers():
            if host not in (sender, self._host):
                self._peers.send(host, relayed)

    async def _on_target_ended(self, sender: str, report: Any) -> None:
        target = (report.target, report.incarnation)
        self._table.record(target, report.requests, now())
        if not report.is_relayed:
            self._relay(sender, report)

    async def _on_trial_request(self, sender: str, request: Any) -> Any:
        if self._leader() != self._host:
            return None
        return TrialResponse(self._trials.take(request.request, now()))

    async def _on_suspicion_cleared(self, sender: str, report: Any) -> None:
        self._table.clear(report.request)
        if not report.is_relayed:
            self._relay(sender, report)
