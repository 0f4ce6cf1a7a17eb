"""Gets the tokens for this host's requests to limited targets."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from itertools import groupby
from typing import TYPE_CHECKING, Any

import mode

from balsamway.clock import now
from balsamway.limits.admission import Admitted, HeldBack
from balsamway.limits.cold_budget import ColdBudget
from balsamway.limits.cold_share import ColdShare
from balsamway.limits.limiter import Limiter
from balsamway.limits.local_share import LocalShare
from balsamway.limits.messages import (
    TokenDemand,
    TokenGrant,
    TokenRequest,
    TokenResponse,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from balsamway.forwarding.service_targets import ServiceTargets
    from balsamway.forwarding.target_state import TargetState
    from balsamway.keyspace.leader_lease import LeaderLease
    from balsamway.limits.admission import Admission
    from balsamway.limits.limit_metrics import LimitMetrics
    from balsamway.peers.peers import Peers

RESPONSE_TIMEOUT_SECONDS = 0.2
"""The longest wait for the leader's response. It takes a few ms, and the
request waits with it."""
PROBE_INTERVAL_SECONDS = 0.5
"""The interval at which a leader that did not respond is called again."""
NO_LIMIT_AGE_MS = 3_600_000
"""The age to send of a limit that the target does not name. It is older than
any response of which the leader knows."""
MAX_PRIORITIES_PER_DEMAND = 256
"""Bounds the requests of one demand. Further ones are held back at once."""

DEFAULT_COLD_BUDGET = ColdBudget()

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _Waiter:
    state: TargetState
    priority: int
    admission: asyncio.Future[Admission]


@dataclass(frozen=True, slots=True)
class _Refusal:
    priority: int
    until: float
    retry_after_seconds: float


class TokenClient(mode.Service):
    """Asks the leader for a token for each request to a limited target.

    Implements `TargetAdmission`. One call is in progress at a time, and the
    requests that arrive meanwhile share the next one. While the leader does
    not respond, this host keeps to a share of each limit.
    """

    def __init__(
        self,
        host: str,
        peers: Peers,
        lease: LeaderLease,
        targets: ServiceTargets,
        token_leader: Callable[[], tuple[int, str] | None],
        host_count: Callable[[], int],
        metrics: LimitMetrics,
        rng: random.Random,
        cold_budget: ColdBudget = DEFAULT_COLD_BUDGET,
    ) -> None:
        """Create the client and register the handler for the leader's part.

        Args:
            host: The name of this host.
            peers: The connections to the other entry hosts.
            lease: The leader lease, which says whether this host leads.
            targets: The targets, with their limits.
            token_leader: Returns the epoch and the name of the leader that
                hands out tokens, or None if none is known.
            host_count: Returns the number of entry hosts.
            metrics: Counts the decisions.
            rng: Decides about requests for less than one token.
            cold_budget: The bounds on the requests to a cold target.
        """
        super().__init__()
        self._host = host
        self._peers = peers
        self._lease = lease
        self._targets = targets
        self._token_leader = token_leader
        self._host_count = host_count
        self._metrics = metrics
        self._limiter = Limiter()
        self._limiter_epoch: int | None = None
        self._share = LocalShare(rng)
        self._cold_budget = cold_budget
        self._cold_share = ColdShare(cold_budget, rng)
        self._waiters: list[_Waiter] = []
        self._has_waiters = asyncio.Event()
        self._refusals: dict[tuple[str, int], _Refusal] = {}
        self._silent_leader: tuple[int, str] | None = None
        """The leader that did not respond to the last call."""
        peers.register_handler(TokenRequest, self._on_token_request)

    def held_back(self, state: TargetState, priority: int) -> HeldBack | None:
        """Return a refusal that still holds; see `TargetAdmission`."""
        refusal = self._refusals.get(state.entry.key)
        if refusal is None or priority < refusal.priority:
            return None
        seconds = refusal.until - now()
        if seconds <= 0 or state.requests_per_second is None:
            return None
        return HeldBack(max(seconds, refusal.retry_after_seconds), seconds)

    async def acquire(self, state: TargetState, priority: int) -> Admission:
        """Decide about one request; see `TargetAdmission`."""
        limit = state.requests_per_second
        if limit is None:
            return Admitted()
        if (refusal := self.held_back(state, priority)) is not None:
            self._metrics.count(refusal, "cache")
            return refusal
        leader = self._token_leader()
        if self._has_authority():
            cold = state.cold
            admission = self._take_token(
                state.entry.key, limit, priority, cold.limit, cold.settle_seconds
            )
            self._metrics.count(admission, "leader")
        elif leader is None or leader[1] == self._host or self._is_silent(leader):
            return self._take_share(state, limit)
        else:
            waiter = _Waiter(
                state, priority, asyncio.get_running_loop().create_future()
            )
            self._waiters.append(waiter)
            self._has_waiters.set()
            admission = await waiter.admission
        if isinstance(admission, HeldBack):
            self._refusals[state.entry.key] = _Refusal(
                priority,
                now() + admission.next_token_seconds,
                admission.retry_after_seconds,
            )
        return admission

    def dump(self) -> dict[str, object]:
        """Return each limit and how it is kept, for the state dump."""
        return {
            state.entry.name: state.limit.dump()
            | state.cold.dump()
            | {"pace_per_second": state.pace.limit}
            | {
                "share_per_second": round(
                    self._share.tokens_per_second(
                        state.entry.key,
                        state.requests_per_second or 0.0,
                        self._host_count(),
                    ),
                    4,
                ),
                "decided_by": "share" if self._is_on_its_own() else "leader",
            }
            for state in self._targets.limited()
        }

    @mode.Service.task
    async def _ask_leader(self) -> None:
        while not self.should_stop:
            await self._has_waiters.wait()
            self._has_waiters.clear()
            waiters, self._waiters = self._waiters, []
            await self._ask_for(waiters)

    @mode.Service.task
    async def _probe_silent_leader(self) -> None:
        while not self.should_stop:
            await self.sleep(PROBE_INTERVAL_SECONDS)
            self._limiter.remove_idle()
            keys = {state.entry.key for state in self._targets.all()}
            self._share.keep_only(keys)
            self._cold_share.keep_only(keys)
            self._refusals = {
                key: refusal
                for key, refusal in self._refusals.items()
                if key in keys and refusal.until > now()
            }
            leader = self._silent_leader
            if leader is None or leader != self._token_leader():
                continue
            response = await self._peers.call(
                leader[1], TokenRequest(()), RESPONSE_TIMEOUT_SECONDS
            )
            if isinstance(response, TokenResponse) and self._silent_leader == leader:
                self._silent_leader = None
                logger.info("limiter-regained", extra={"leader": leader[1]})

    async def _ask_for(self, waiters: Sequence[_Waiter]) -> None:
        """Resolve waiters by the leader's response, or by the local share."""
        leader = self._token_leader()
        for waiter in waiters:
            if waiter.state.requests_per_second is None:
                _resolve(waiter, Admitted())
        groups = _group_by_target(waiters)
        response = None
        if groups and leader is not None and not self._is_silent(leader):
            request = TokenRequest(tuple(_demand(group) for group in groups))
            response = await self._peers.call(
                leader[1], request, RESPONSE_TIMEOUT_SECONDS
            )
        if isinstance(response, TokenResponse) and len(response.grants) == len(groups):
            for group, grant in zip(groups, response.grants, strict=True):
                self._apply_grant(group, grant)
            return
        if response is not None and leader is not None:
            self._silent_leader = leader
            logger.warning(
                "limiter-silent",
                extra={"leader": leader[1], "reason": str(response)},
            )
        for group in groups:
            for waiter in group:
                limit = waiter.state.requests_per_second or 0.0
                _resolve(waiter, self._take_share(waiter.state, limit))

    def _apply_grant(self, group: Sequence[_Waiter], grant: TokenGrant) -> None:
        self._share.record_granted(group[0].state.entry.key, grant.tokens)
        for index, waiter in enumerate(group):
            admission: Admission = Admitted()
            if index >= grant.tokens:
                waits_ms = grant.retry_after_ms or (grant.next_token_ms,)
                wait_ms = waits_ms[min(index - grant.tokens, len(waits_ms) - 1)]
                admission = HeldBack(wait_ms / 1000, grant.next_token_ms / 1000)
            self._metrics.count(admission, "leader")
            _resolve(waiter, admission)

    def _take_share(self, state: TargetState, limit: float) -> Admission:
        if state.cold.limit is None:
            admission = self._share.take(state.entry.key, limit, self._host_count())
        else:
            admission = self._cold_share.take(
                state.entry.key, limit, self._host_count()
            )
        self._metrics.count(admission, "share")
        return admission

    async def _on_token_request(self, sender: str, request: Any) -> Any:
        if not self._has_authority():
            return None
        return TokenResponse(tuple(self._grant(demand) for demand in request.demands))

    def _grant(self, demand: TokenDemand) -> TokenGrant:
        key = (demand.target, demand.incarnation)
        limit: float | None = demand.limit
        cold_limit = demand.cold_per_second
        settle_seconds = 0.0
        state = self._targets.find(*key)
        if state is not None:
            if demand.names_limit:
                state.limit.on_report(demand.limit, demand.limit_age_ms)
            state.cold.on_report(demand.cold_left_ms / 1000)
            if state.cold.requests_per_second is not None or not demand.cold_left_ms:
                cold_limit = state.cold.limit
            settle_seconds = state.cold.settle_seconds
            limits = (state.limit.requests_per_second, cold_limit, state.pace.limit)
            limit = min((known for known in limits if known is not None), default=None)
        if limit is None:
            return TokenGrant(len(demand.priorities), 0, ())
        tokens = 0
        retry_after_ms = []
        next_token_ms = 0
        for priority in demand.priorities[:MAX_PRIORITIES_PER_DEMAND]:
            match self._take_token(key, limit, priority, cold_limit, settle_seconds):
                case Admitted():
                    tokens += 1
                case HeldBack(retry_after_seconds=retry, next_token_seconds=next_):
                    retry_after_ms.append(round(1000 * retry))
                    next_token_ms = next_token_ms or round(1000 * next_)
        return TokenGrant(tokens, next_token_ms, tuple(retry_after_ms))

    def _take_token(
        self,
        key: tuple[str, int],
        limit: float,
        priority: int,
        cold_limit: float | None,
        settle_seconds: float,
    ) -> Admission:
        """Take a token as the leader."""
        if self._lease.epoch != self._limiter_epoch:
            # Tokens saved in an earlier leadership would come in addition to
            # those of the leader between.
            self._limiter_epoch = self._lease.epoch
            self._limiter = Limiter()
        if cold_limit is None:
            return self._limiter.take(key, limit, priority)
        rate = self._cold_budget.leader_rate(min(limit, cold_limit))
        burst = self._cold_budget.burst(cold_limit)
        admission = self._limiter.take(key, rate, priority, burst)
        if settle_seconds <= 0:
            return admission
        # Tokens taken meanwhile are lost, so that none are saved up.
        return HeldBack(settle_seconds + 1.0 / cold_limit, settle_seconds)

    def _has_authority(self) -> bool:
        epoch = self._lease.epoch
        return epoch is not None and self._lease.has_authority(epoch)

    def _is_silent(self, leader: tuple[int, str]) -> bool:
        return leader == self._silent_leader

    def _is_on_its_own(self) -> bool:
        """Whether this host keeps to its share of the limits."""
        if self._has_authority():
            return False
        leader = self._token_leader()
        return leader is None or leader[1] == self._host or self._is_silent(leader)


def _group_by_target(waiters: Sequence[_Waiter]) -> list[list[_Waiter]]:
    """Group open waiters by target, the most urgent of each target first."""
    in_order = sorted(
        (waiter for waiter in waiters if not waiter.admission.done()),
        key=lambda waiter: (waiter.state.entry.key, waiter.priority),
    )
    by_target = groupby(in_order, key=lambda waiter: waiter.state.entry.key)
    return [list(group) for _, group in by_target]


def _demand(group: Sequence[_Waiter]) -> TokenDemand:
    state = group[0].state
    name, incarnation = state.entry.key
    priorities = tuple(waiter.priority for waiter in group)
    cold_limit = state.cold.limit
    cold_left_ms = round(1000 * state.cold.left_observed)
    if state.limit.requests_per_second is None:
        return TokenDemand(
            name,
            incarnation,
            state.requests_per_second or 0.0,
            NO_LIMIT_AGE_MS,
            priorities,
            False,
            cold_limit,
            cold_left_ms,
        )
    limit, age_ms = state.limit.report
    return TokenDemand(
        name,
        incarnation,
        limit or 0.0,
        age_ms,
        priorities,
        True,
        cold_limit,
        cold_left_ms,
    )


def _resolve(waiter: _Waiter, admission: Admission) -> None:
    if not waiter.admission.done():
        waiter.admission.set_result(admission)
