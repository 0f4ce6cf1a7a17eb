"""The attempts of one request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.forwarding.attempt_result import AttemptOutcome, AttemptResult
from balsamway.forwarding.target_choice import (
    choose_target,
    expected_wait,
    usual_seconds,
)
from balsamway.outcome import Completed, MayHaveRun, NotRun, Reason
from balsamway.routing import RouteType

if TYPE_CHECKING:
    from balsamway.entry import EntryRequest
    from balsamway.forwarding.forwarder import Forwarder
    from balsamway.forwarding.retry_budget import RetryBudget
    from balsamway.forwarding.target_state import TargetState
    from balsamway.outcome import Verdict
    from balsamway.routing import Route, RoutedService

LEAST_ATTEMPT_SECONDS = 0.005
"""Less time than this is not worth an attempt; a path takes two ms."""
RETRY_SECONDS = 0.25
"""When to come back after a refusal for want of room."""
OWNER_RETRY_SECONDS = 0.4
"""When to come back for a key that nobody holds at the moment."""
HELD_SHARE = 0.4
"""The part of the time left for which a request waits for its key's owner."""
RECHECK_SECONDS = 0.05
"""How long a change of owner is waited for before looking again."""
NOT_HELD_ATTEMPTS = 3
"""How often a request follows a key that has moved."""
UNREACHABLE_ATTEMPTS = 4
"""How many targets are tried that accept no connection."""

PATIENCE = {0: 1.8, 1: 1.4}
"""How long a request may be expected to take, as a multiple of its route's
latency objective, by the route's priority."""
LEAST_PATIENCE = 1.1
"""The same for the priorities below those."""
WORK_SHARE = 0.6
"""The most that a request's work counts for in that, of the objective."""

_ARRIVED = frozenset(
    {AttemptOutcome.SHED, AttemptOutcome.KEY_NOT_HELD, AttemptOutcome.WRONG_TARGET}
)
"""Refusals that count as an arrival at the service."""


class AttemptLoop:
    """Takes one request through its attempts to a verdict.

    A request that may not be repeated gets another attempt only after the
    one before is known not to have run.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        request: EntryRequest,
        route: Route,
        service: RoutedService,
        budget: RetryBudget,
    ) -> None:
        """Makes the run of a request that has had no attempt.

        Args:
            forwarder: What is shared by all requests.
            request: The request.
            route: Its route.
            service: The service that the route's split chose.
            budget: Allows repeats to the service.
        """
        self.request = request
        self.route = route
        self.service = service
        self._forwarder = forwarder
        self._budget = budget
        patience = request.caller_timeout_seconds
        limit = route.timeout_seconds
        self.deadline = request.arrived_at + (
            limit if patience is None else min(limit, patience)
        )
        self.attempts: list[tuple[str, float, AttemptOutcome | None]] = []
        """The target, start and finding of each attempt so far."""
        self._arrivals = 0
        self._may_have_run = False
        self._failure: Completed | None = None
        """What a target answered that failed; passed on if none serves."""
        self._tried: set[str] = set()

    @property
    def is_safe(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.type is RouteType.SAFE

    @property
    def seconds_left(self) -> float:
        """The time left to the deadline."""
        return self.deadline - now()

    def late(self) -> Verdict:
        """Gives the verdict on a request whose deadline has passed."""
        if self._failure is not None:
            return self._failure
        if self._may_have_run:
            return MayHaveRun(Reason.DEADLINE_EXCEEDED)
        return NotRun(
            Reason.OVERLOADED, "no target in time", self._jitter(RETRY_SECONDS)
        )

    async def run(self) -> Verdict:
        """Makes attempts until one is answered or no other is allowed.

        Returns:
            The verdict over all attempts.
        """
        refused = 0
        while True:
            state = await self._next_target()
            if isinstance(state, NotRun):
                return self._refuse(state)
            result = await self._attempt(state)
            verdict = result.verdict
            match result.outcome:
                case AttemptOutcome.SERVED:
                    return verdict
                case AttemptOutcome.UNREACHABLE | AttemptOutcome.STALE_CONNECTION:
                    refused += 1
                    if refused >= UNREACHABLE_ATTEMPTS:
                        return self._refuse(verdict)
                    continue
                case outcome if outcome in _ARRIVED:
                    if not self._may_follow_refusal(outcome):
                        return self._refuse(verdict)
                    if outcome is AttemptOutcome.KEY_NOT_HELD:
                        await self._wait_for_owner(RECHECK_SECONDS)
                case _:
                    if isinstance(verdict, NotRun):
                        return self._refuse(verdict)
                    if isinstance(verdict, Completed):
                        self._failure = verdict
                    if not self._may_repeat():
                        return self._failure or verdict

    async def _next_target(self) -> TargetState | NotRun:
        if self.seconds_left < LEAST_ATTEMPT_SECONDS:
            return NotRun(Reason.OVERLOADED, "no time is left")
        if self.service.is_keyed:
            return await self._owner()
        states = self._forwarder.targets.usable(self.service.name)
        state = choose_target(
            states,
            self._forwarder.zone,
            self.route.objective_seconds,
            self._tried,
            self._forwarder.rng,
        )
        if state is not None:
            return self._admit(state, usual_seconds(states))
        return NotRun(
            Reason.NO_TARGET, "no target is left", self._jitter(RETRY_SECONDS)
        )

    def _admit(self, state: TargetState, usual: float) -> TargetState | NotRun:
        """Refuses what would wait so long that its answer is worth little.

        A request that finds a free slot is never refused.

        Under overload a target serves as many requests with a long queue as
        with a short one, but late. Less urgent routes give way first.
        """
        wait = expected_wait(state, usual)
        objective = self.route.objective_seconds
        patience = PATIENCE.get(self.route.priority, LEAST_PATIENCE)
        # Routes to one service differ in work, so the time without a wait is
        # the route's own and not the target's.
        work = self._forwarder.service_times.seconds(self.route.name, self.service.name)
        own = min(work, WORK_SHARE * objective)
        limit = patience * objective - own
        if wait <= limit:
            return state
        return NotRun(
            Reason.OVERLOADED,
            f"{state.entry.name} has a wait of {wait:.3f} s",
            self._jitter(max(RETRY_SECONDS, wait - limit)),
        )

    async def _owner(self) -> TargetState | NotRun:
        key = self.request.key
        if key is None:
            return NotRun(Reason.BAD_REQUEST, "the request names no key")
        hold_until = now() + HELD_SHARE * self.seconds_left
        while True:
            owner = self._forwarder.owners.find_owner(self.service.name, key)
            state = None
            expected_at = hold_until
            if owner is not None:
                state = self._forwarder.targets.find(owner.name, owner.incarnation)
                if state is not None and state.has_left:
                    state = None
                expected_at = owner.accept_expected_at
            if owner is not None and owner.has_accepted and state is not None:
                if not state.is_avoided:
                    return self._admit_owner(state)
                expected_at = state.avoided_until
            # What cannot be served in time is refused at once, not held.
            is_hopeless = expected_at > hold_until
            left = min(hold_until, max(expected_at, now() + RECHECK_SECONDS)) - now()
            if is_hopeless or (not await self._wait_for_owner(left) and left <= 0):
                return NotRun(
                    Reason.NO_OWNER if owner is None else Reason.MOVING,
                    "" if owner is None else owner.name,
                    self._jitter(max(OWNER_RETRY_SECONDS, expected_at - now())),
                )

    def _admit_owner(self, state: TargetState) -> TargetState | NotRun:
        states = self._forwarder.targets.usable(self.service.name)
        return self._admit(state, usual_seconds(states))

    async def _wait_for_owner(self, seconds: float) -> bool:
        """Waits until an owner changes.

        Returns:
            Whether one did in time.
        """
        if seconds <= 0:
            return False
        done, _ = await asyncio.wait(
            (self._forwarder.owners.next_change(),), timeout=seconds
        )
        return bool(done)

    async def _attempt(self, state: TargetState) -> AttemptResult:
        began = now()
        place = len(self.attempts)
        self.attempts.append((state.entry.name, began, None))
        may_have_run_before = self._may_have_run
        self._may_have_run = True
        was_prompt = state.has_free_slot
        state.in_flight += 1
        try:
            result = await self._forwarder.transport.send(
                state.pool, state.entry, self.request, self.seconds_left
            )
        finally:
            state.in_flight -= 1
        seconds = now() - began
        route, service = self.route.name, self.service.name
        work = self._forwarder.service_times
        if result.outcome is AttemptOutcome.SERVED and was_prompt:
            work.learn(route, service, seconds)
        state.observe(
            result.outcome, seconds / work.relative(route, service), was_prompt
        )
        self.attempts[place] = (state.entry.name, began, result.outcome)
        if isinstance(result.verdict, NotRun):
            self._may_have_run = may_have_run_before
        if result.outcome not in (
            AttemptOutcome.STALE_CONNECTION,
            AttemptOutcome.KEY_NOT_HELD,
        ):
            self._tried.add(state.entry.name)
        return result

    def _may_follow_refusal(self, outcome: AttemptOutcome) -> bool:
        self._arrivals += 1
        if outcome is AttemptOutcome.KEY_NOT_HELD:
            allowed = self._arrivals < NOT_HELD_ATTEMPTS
        elif self.service.is_keyed:
            allowed = False
        else:
            allowed = self._arrivals < self.route.max_attempts
        return allowed and self._has_time() and self._budget.take()

    def _may_repeat(self) -> bool:
        self._arrivals += 1
        return (
            self.is_safe
            and self._arrivals < self.route.max_attempts
            and self._has_time()
            and self._budget.take()
        )

    def _has_time(self) -> bool:
        return self.seconds_left > LEAST_ATTEMPT_SECONDS

    def _refuse(self, verdict: Verdict) -> Verdict:
        """Ends the request, unless an earlier attempt may have run."""
        if self._failure is not None:
            return self._failure
        if self._may_have_run and not isinstance(verdict, Completed):
            return MayHaveRun(Reason.CONNECTION_LOST, "an earlier attempt may have run")
        if isinstance(verdict, NotRun) and verdict.retry_after_seconds is None:
            return NotRun(verdict.reason, verdict.detail, self._jitter(RETRY_SECONDS))
        return verdict

    def _jitter(self, seconds: float) -> float:
        return seconds * self._forwarder.rng.uniform(0.7, 1.3)
