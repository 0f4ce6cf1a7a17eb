"""The loop that makes the attempts of one request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.forwarding.attempt_result import AttemptOutcome, AttemptResult
from balsamway.forwarding.offered_bytes import offered_size
from balsamway.forwarding.refusals import (
    all_evacuated,
    body_bound_reached,
    host_stops,
    jitter,
    limit_used_up,
    region_not_allowed,
    targets_full,
    targets_rest,
)
from balsamway.forwarding.target_choice import (
    choose_target,
    expected_queue_seconds,
    mean_service_seconds,
)
from balsamway.forwarding.target_room import targets_with_room
from balsamway.limits import HeldBack
from balsamway.outcome import Completed, MayHaveRun, NotRun, Reason
from balsamway.routing import RouteType

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamway.entry import EntryRequest
    from balsamway.forwarding.forwarder import Forwarder
    from balsamway.forwarding.retry_budget import RetryBudget
    from balsamway.forwarding.target_state import TargetState
    from balsamway.forwarding.work_separation import TargetPreference
    from balsamway.outcome import Verdict
    from balsamway.routing import Route, RoutedService

MIN_ATTEMPT_SECONDS = 0.005
"""The least time to the deadline for another attempt. The network path alone
takes two ms, so an attempt with less time would not end in time."""
RETRY_AFTER_SECONDS = 0.25
"""The Retry-After time of a refusal for lack of capacity."""
OWNER_RETRY_AFTER_SECONDS = 0.4
"""The least Retry-After time for a key that has no owner at the moment."""
MAX_OWNER_WAIT_FRACTION = 0.4
"""Bounds how long a request waits for its key to move, as a fraction of the
time left to its deadline."""
OWNER_RECHECK_SECONDS = 0.05
"""How long a request waits for a change of owners before the next look-up."""
MIN_OWNER_WAIT_SECONDS = 0.001
"""The least wait for an owner. A timer may end 1e-15 s early, and a wait for
such a remainder would be repeated without end on a paused clock."""
MAX_KEY_NOT_HELD_ATTEMPTS = 3
"""Bounds the attempts of a request that follows a key which has moved."""
MAX_UNREACHABLE_ATTEMPTS = 4
"""Bounds the attempts of a request at targets that accept no connection."""

MAX_LATENCY_MULTIPLES = {0: 1.8, 1: 1.4}
"""Bounds the expected latency of an admitted request, by the priority of its
route, as a multiple of the route's latency objective."""
DEFAULT_MAX_LATENCY_MULTIPLE = 1.1
"""The same bound for the less urgent priorities, which are not listed."""
MAX_SERVICE_TIME_FRACTION = 0.6
"""Bounds the service time that counts towards the expected latency, as a
fraction of the route's latency objective."""

_REFUSALS_BY_TARGET = frozenset(
    {AttemptOutcome.SHED, AttemptOutcome.KEY_NOT_HELD, AttemptOutcome.WRONG_TARGET}
)
"""Refusals that count towards the attempts of a request: the request reached
a target, which did not execute it."""


class AttemptLoop:
    """Makes attempts for one request until its verdict is known.

    A request that is not safe to execute twice gets another attempt only if
    the previous attempt is known not to have run.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        request: EntryRequest,
        route: Route,
        service: RoutedService,
        budget: RetryBudget,
    ) -> None:
        """Prepare a request that has had no attempt.

        Args:
            forwarder: The forwarder, whose state all requests share.
            request: The caller's request.
            route: The route of the request.
            service: The service that the route's split chose.
            budget: The retry budget of the service.
        """
        self.request = request
        self.route = route
        self.service = service
        self._forwarder = forwarder
        self._budget = budget
        caller_timeout = request.caller_timeout_seconds
        route_timeout = route.timeout_seconds
        self.deadline = request.arrived_at + (
            route_timeout
            if caller_timeout is None
            else min(route_timeout, caller_timeout)
        )
        self.attempts: list[tuple[str, float, AttemptOutcome | None]] = []
        """The target, start in event loop time and outcome of each attempt.

        The outcome is None while the attempt is in progress.
        """
        self._body_bytes = offered_size(request)
        self._arrived_attempts = 0
        """The number of attempts that count towards the route's limit."""
        self._may_have_run = False
        self._failed_response: Completed | None = None
        """The latest response that reported a failure of the target.

        It is passed on to the caller if no other target serves the request.
        """
        self._tried: set[str] = set()
        """The names of the targets that are not tried again."""
        self._held_back: dict[str, float] = {}
        """The targets whose limit is used up, with the seconds until there is
        room for this request."""
        self._withdrawn: set[str] = set()
        """The names of the targets that could not be sent to any more when the
        request had been admitted."""

    @property
    def is_safe(self) -> bool:
        """Whether the request may be executed more than once."""
        return self.route.type is RouteType.SAFE

    @property
    def _may_send_again(self) -> bool:
        """Whether the body is there for another attempt."""
        body = self.request.body
        return isinstance(body, bytes) or not body.is_started

    @property
    def remaining_seconds(self) -> float:
        """The time left to the deadline, in seconds."""
        return self.deadline - now()

    def deadline_verdict(self) -> Verdict:
        """Return the verdict on a request whose deadline has passed."""
        if self._failed_response is not None:
            return self._failed_response
        if self._may_have_run:
            return MayHaveRun(Reason.DEADLINE_EXCEEDED)
        return NotRun(
            Reason.OVERLOADED,
            "no target in time",
            self._jitter(RETRY_AFTER_SECONDS),
        )

    async def run(self) -> Verdict:
        """Make attempts until one is served or no other is allowed.

        Returns:
            The verdict on the request, from all its attempts.
        """
        unreachable_attempts = 0
        while True:
            state = await self._next_target()
            if isinstance(state, NotRun):
                return self._refuse(state)
            admission = await self._forwarder.admission.acquire(
                state, self.route.priority
            )
            if isinstance(admission, HeldBack):
                self._held_back[state.entry.name] = admission.retry_after_seconds
                if self.service.is_keyed:
                    return self._refuse(
                        limit_used_up(self._held_back, self._forwarder.rng)
                    )
                continue
            if not self._may_still_send(state):
                await self._on_withdrawn(state)
                continue
            result = await self._attempt(state)
            verdict = result.verdict
            match result.outcome:
                case AttemptOutcome.SERVED:
                    return verdict
                case (
                    AttemptOutcome.UNREACHABLE
                    | AttemptOutcome.CONNECTION_REFUSED
                    | AttemptOutcome.STALE_CONNECTION
                    | AttemptOutcome.WITHHELD
                ):
                    unreachable_attempts += 1
                    if (
                        unreachable_attempts >= MAX_UNREACHABLE_ATTEMPTS
                        or not self._may_send_again
                    ):
                        return self._refuse(verdict)
                    continue
                case outcome if outcome in _REFUSALS_BY_TARGET:
                    if not self._may_retry_refused(outcome):
                        if self.service.is_keyed and state.rest.is_active:
                            verdict = self._targets_rest(state)
                        return self._refuse(verdict)
                    if outcome is AttemptOutcome.KEY_NOT_HELD:
                        await self._wait_for_owner(OWNER_RECHECK_SECONDS)
                case _:
                    if isinstance(verdict, NotRun):
                        return self._refuse(verdict)
                    if isinstance(verdict, Completed):
                        self._failed_response = verdict
                    if not self._may_retry():
                        return self._failed_response or verdict

    async def _next_target(self) -> TargetState | NotRun:
        if self.remaining_seconds < MIN_ATTEMPT_SECONDS:
            return NotRun(Reason.OVERLOADED, "no time is left")
        if not self._forwarder.is_sending:
            return host_stops(self._forwarder.rng)
        if self._forwarder.targets.is_evacuated(self.service.name):
            return all_evacuated(self.service.name, self._forwarder.rng)
        if self.service.is_keyed:
            return await self._find_owner()
        states = [
            state
            for state in self._forwarder.targets.usable(self.service.name)
            if self._is_region_allowed(state)
            and state.entry.name not in self._withdrawn
        ]
        rested = [state for state in states if state.rest.allows_request]
        admitted = self._without_held_back(rested)
        preference = self._forwarder.work_separation.preference(
            self.route.id, self.service.name, len(states)
        )
        candidates = targets_with_room(
            admitted, self._tried, self.is_safe, self._forwarder.rng, preference
        )
        state = self._choose(candidates, preference)
        if state is not None and not state.offered.has_room(self._body_bytes):
            with_room = [other for other in candidates if self._has_room(other)]
            state = self._choose(with_room, preference)
            if state is None:
                return body_bound_reached(candidates, self._forwarder.rng)
        if state is not None:
            return self._admit(state, mean_service_seconds(states))
        if states and not rested:
            return self._targets_rest(*states)
        full = [state for state in admitted if state.entry.name not in self._tried]
        if full:
            return targets_full(full, self.is_safe, self._forwarder.rng)
        if self._held_back:
            return limit_used_up(self._held_back, self._forwarder.rng)
        return NotRun(
            Reason.NO_TARGET,
            "no target is left",
            self._jitter(RETRY_AFTER_SECONDS),
        )

    def _is_region_allowed(self, state: TargetState) -> bool:
        return self._forwarder.regions.allows(self.route, state.entry.zone)

    def _choose(
        self, states: Sequence[TargetState], preference: TargetPreference | None
    ) -> TargetState | None:
        return choose_target(
            states,
            self._forwarder.zone,
            self.route.objective_seconds,
            self._tried,
            self._forwarder.rng,
            preference,
        )

    def _has_room(self, state: TargetState) -> bool:
        return state.offered.has_room(self._body_bytes)

    def _without_held_back(self, states: Sequence[TargetState]) -> list[TargetState]:
        """Return the targets whose limit may have room for the request."""
        for state in states:
            name = state.entry.name
            refusal = self._forwarder.admission.held_back(state, self.route.priority)
            if refusal is not None and name not in self._held_back:
                self._held_back[name] = refusal.retry_after_seconds
        return [state for state in states if state.entry.name not in self._held_back]

    def _may_still_send(self, state: TargetState) -> bool:
        """Return whether the target may receive the request after a wait."""
        is_listed = self._forwarder.targets.find(*state.entry.key) is state
        may_receive = is_listed and state.may_receive(self.service.is_keyed)
        return may_receive and self._has_room(state)

    async def _on_withdrawn(self, state: TargetState) -> None:
        """Give up a target that was chosen and can't be sent to any more.

        If it was chosen again, the loop could repeat without waiting. A key
        has no other target to choose, so a change of its owner is awaited.

        Args:
            state: The state of the target.
        """
        if self.service.is_keyed:
            await self._wait_for_owner(OWNER_RECHECK_SECONDS)
        else:
            self._withdrawn.add(state.entry.name)

    def _admit(
        self, state: TargetState, default_seconds: float
    ) -> TargetState | NotRun:
        """Refuse the request if it would wait too long for a slot.

        A request that finds a free slot is never refused.

        Under overload a target serves as many requests with a long queue as
        with a short one, but serves them late. The limits of less urgent
        routes are lower, so their requests are refused first.

        Args:
            state: The chosen target.
            default_seconds: The service time to assume if the target's own is
                not known.

        Returns:
            The target, or the refusal.
        """
        queue_seconds = expected_queue_seconds(state, default_seconds)
        objective = self.route.objective_seconds
        max_multiple = MAX_LATENCY_MULTIPLES.get(
            self.route.priority, DEFAULT_MAX_LATENCY_MULTIPLE
        )
        # Routes to one service differ in service time, so the route's own
        # mean is taken and not the target's.
        mean_seconds = self._forwarder.service_times.mean_seconds(
            self.route.id, self.service.name
        )
        service_seconds = min(mean_seconds, MAX_SERVICE_TIME_FRACTION * objective)
        max_queue_seconds = max_multiple * objective - service_seconds
        if queue_seconds <= max_queue_seconds:
            return state
        return NotRun(
            Reason.OVERLOADED,
            f"{state.entry.name} has a wait of {queue_seconds:.3f} s",
            self._jitter(max(RETRY_AFTER_SECONDS, queue_seconds - max_queue_seconds)),
        )

    async def _find_owner(self) -> TargetState | NotRun:
        """Return the owner of the request's key.

        Waits while the key moves or its owner is in backoff, if the wait is
        expected to be short enough.

        Returns:
            The owner once it has accepted the key and is out of backoff. The
            refusal if that is not expected in time, if the owner is
            overloaded, or if the request has no key.
        """
        key = self.request.key
        if key is None:
            return NotRun(Reason.BAD_REQUEST, "the request names no key")
        wait_until = now() + MAX_OWNER_WAIT_FRACTION * self.remaining_seconds
        while True:
            owner = self._forwarder.owners.find_owner(self.service.name, key)
            state = None
            expected_at = wait_until
            if owner is not None:
                state = self._forwarder.targets.find(owner.name, owner.incarnation)
                if state is not None and not self._is_region_allowed(state):
                    return region_not_allowed(state, self._forwarder.rng)
                if state is not None and state.is_drain_expired:
                    state = None
                expected_at = owner.accept_expected_at
            if owner is not None and owner.has_accepted and state is not None:
                if not self._forwarder.is_sending:
                    return host_stops(self._forwarder.rng)
                if not state.is_in_backoff and state.rest.allows_request:
                    return self._admit_owner(state)
                rest_ends_at = now() + state.rest.remaining_seconds
                expected_at = max(state.backoff_until, rest_ends_at)
                if rest_ends_at > wait_until:
                    return self._targets_rest(state)
            # A request that cannot be served in time is refused at once
            # instead of waiting for the move.
            is_too_late = (
                expected_at > wait_until or wait_until - now() < MIN_OWNER_WAIT_SECONDS
            )
            wait_seconds = (
                min(wait_until, max(expected_at, now() + OWNER_RECHECK_SECONDS)) - now()
            )
            if is_too_late or (
                not await self._wait_for_owner(wait_seconds) and wait_seconds <= 0
            ):
                return NotRun(
                    Reason.NO_OWNER if owner is None else Reason.MOVING,
                    "" if owner is None else owner.name,
                    self._jitter(max(OWNER_RETRY_AFTER_SECONDS, expected_at - now())),
                )

    def _admit_owner(self, state: TargetState) -> TargetState | NotRun:
        if not self._has_room(state):
            return body_bound_reached((state,), self._forwarder.rng)
        rng = self._forwarder.rng
        if not targets_with_room([state], (), self.is_safe, rng):
            return targets_full([state], self.is_safe, rng)
        states = self._forwarder.targets.usable(self.service.name)
        return self._admit(state, mean_service_seconds(states))

    async def _wait_for_owner(self, seconds: float) -> bool:
        """Wait until any owner changes.

        Args:
            seconds: The longest time to wait.

        Returns:
            Whether an owner changed within that time.
        """
        if seconds <= 0:
            return False
        done, _ = await asyncio.wait(
            (self._forwarder.owners.next_change(),), timeout=seconds
        )
        return bool(done)

    async def _attempt(self, state: TargetState) -> AttemptResult:
        started_at = now()
        attempt_index = len(self.attempts)
        self.attempts.append((state.entry.name, started_at, None))
        may_have_run_before = self._may_have_run
        self._may_have_run = True
        was_unqueued = state.has_free_slot
        in_flight_at_send = state.estimated_in_flight
        state.in_flight += 1
        state.offered.begin(self, self._body_bytes)
        state.rest.on_sent()
        try:
            result = await self._forwarder.transport.send(
                state.pool, state.entry, self.request, self.remaining_seconds
            )
        finally:
            state.in_flight -= 1
            state.offered.end(self, self._body_bytes)
        if result.limit is not None:
            state.limit.on_response(result.limit)
        state.rest.on_ended(result.outcome, result.rest, started_at)
        if result.is_leaving:
            self._forwarder.targets.on_leaving(state)
        seconds = now() - started_at
        state.record_occupancy(result, in_flight_at_send, seconds, self.is_safe)
        route, service = self.route.id, self.service.name
        service_times = self._forwarder.service_times
        if result.outcome is AttemptOutcome.SERVED and was_unqueued:
            service_times.record(route, service, seconds)
        state.record_attempt(
            result.outcome,
            seconds / service_times.relative_to_service(route, service),
            was_unqueued,
        )
        self.attempts[attempt_index] = (state.entry.name, started_at, result.outcome)
        if isinstance(result.verdict, NotRun):
            self._may_have_run = may_have_run_before
        if result.outcome not in (
            AttemptOutcome.STALE_CONNECTION,
            AttemptOutcome.WITHHELD,
            AttemptOutcome.KEY_NOT_HELD,
        ):
            self._tried.add(state.entry.name)
        return result

    def _may_retry_refused(self, outcome: AttemptOutcome) -> bool:
        """Count an attempt that a target refused, and allow or deny a retry.

        Args:
            outcome: Why the target refused it.

        Returns:
            Whether a retry is allowed. It is taken from the budget.
        """
        self._arrived_attempts += 1
        if outcome is AttemptOutcome.KEY_NOT_HELD:
            allowed = self._arrived_attempts < MAX_KEY_NOT_HELD_ATTEMPTS
        elif self.service.is_keyed:
            allowed = False
        else:
            allowed = self._arrived_attempts < self.route.max_attempts
        return (
            allowed
            and self._may_send_again
            and self._has_time()
            and self._budget.try_take()
        )

    def _may_retry(self) -> bool:
        """Count an attempt that may have run, and allow or deny a retry.

        Returns:
            Whether a retry is allowed. It is taken from the budget.
        """
        self._arrived_attempts += 1
        return (
            self.is_safe
            and self._may_send_again
            and self._arrived_attempts < self.route.max_attempts
            and self._has_time()
            and self._budget.try_take()
        )

    def _has_time(self) -> bool:
        return self.remaining_seconds > MIN_ATTEMPT_SECONDS

    def _refuse(self, verdict: Verdict) -> Verdict:
        """Return the verdict on a request that gets no further attempt.

        A refusal is replaced if an earlier attempt failed or may have run.
        """
        if self._failed_response is not None:
            return self._failed_response
        if self._may_have_run and not isinstance(verdict, Completed):
            return MayHaveRun(Reason.CONNECTION_LOST, "an earlier attempt may have run")
        if isinstance(verdict, NotRun) and verdict.retry_after_seconds is None:
            return NotRun(
                verdict.reason, verdict.detail, self._jitter(RETRY_AFTER_SECONDS)
            )
        return verdict

    def _jitter(self, seconds: float) -> float:
        return jitter(seconds, self._forwarder.rng)

    def _targets_rest(self, *states: TargetState) -> NotRun:
        return targets_rest(states, self.route.priority, self._forwarder.rng)
