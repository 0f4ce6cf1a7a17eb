"""Hosts that send to targets with a bounded queue, without a network."""

from __future__ import annotations

import asyncio
import math
import random
from collections import Counter
from dataclasses import dataclass

from balsamway.clock import now
from balsamway.exchange import ConnectionPool
from balsamway.forwarding.attempt_result import AttemptOutcome, AttemptResult
from balsamway.forwarding.target_choice import (
    choose_target,
    expected_queue_seconds,
    mean_service_seconds,
)
from balsamway.forwarding.target_room import targets_with_room
from balsamway.forwarding.target_state import TargetState
from balsamway.occupancy import ServiceRoom, TargetLoad
from balsamway.outcome import Completed, MayHaveRun, NotRun, Reason
from tests.forwarding.conftest import target

NETWORK_SECONDS = 0.0035
OBJECTIVE_SECONDS = 0.819
MAX_QUEUE_SECONDS = 1.8 * OBJECTIVE_SECONDS - 0.2
"""The bound of `AttemptLoop._admit` for the most urgent routes."""
RETRY_AFTER_SECONDS = 1.5
MAX_ATTEMPTS = 2
SERVED = Completed(200, {}, b"")


@dataclass(frozen=True)
class Fleet:
    """The sizes of a fleet and the behaviour of its targets."""

    hosts: int = 85
    targets: int = 26
    slots: int = 4
    queue: int = 16
    speeds: tuple[float, ...] = (0.7, 0.7, 1.6)
    mean_seconds: float = 0.2
    tail_sigma: float = 1.0
    load: float = 1.05
    """The mean arrival rate, as a fraction of what the targets complete."""
    swing: float = 0.55
    swing_seconds: float = 17.0
    seconds: float = 34.0
    unsafe_fraction: float = 0.8
    count_seconds: float = 0.8
    """How often hosts report to the leader, and how often it tells them."""
    resets: bool = True
    """Whether a full target resets the connection; it refuses otherwise."""
    load_of: object = None
    """Returns the load that a target reports, None if it reports none."""
    is_bounded: bool = True
    """Whether the hosts use what they learn."""
    caller_retries: int = 2
    """How often a caller repeats a request that was refused with 503."""
    shares: bool = True
    """Whether the hosts tell each other what they learned."""


class FullTarget:
    """Executes some requests at a time, queues some, and rejects others."""

    def __init__(self, name, index, fleet):
        self.name = name
        self.index = index
        self.speed = fleet.speeds[index % len(fleet.speeds)]
        self.slots = asyncio.Semaphore(fleet.slots)
        self.held = self.running = self.most_held = self.completed = 0


class FullFleet:
    """Plays requests on the decisions that the entry hosts make."""

    def __init__(self, fleet, seed=1):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self._arrivals = random.Random(seed + 1)
        """Draws the requests, which are the same whatever the hosts decide."""
        self.counts = Counter()
        self.targets = {}
        for index in range(fleet.targets):
            name = f"t{index}"
            self.targets[name] = FullTarget(name, index, fleet)
        self.rooms = [ServiceRoom("s") for _ in range(fleet.hosts)]
        self.hosts = [self._new_states(room) for room in self.rooms]
        self._reported = [dict.fromkeys(self.targets, 0) for _ in self.hosts]

    def _new_states(self, room):
        fleet = self.fleet
        states = []
        for other in self.targets.values():
            entry = target(other.name, capacity=fleet.slots)
            pool = ConnectionPool("127.0.0.1:1", 99)
            state = TargetState(entry, pool, 2.5, room=room)
            state.service_seconds = fleet.mean_seconds / other.speed
            states.append(state)
        return states

    async def run(self):
        fleet = self.fleet
        speeds = sum(t.speed for t in self.targets.values())
        capacity = speeds * fleet.slots / fleet.mean_seconds
        most = capacity * fleet.load * (1 + fleet.swing)
        background = [asyncio.create_task(self._notices())]
        background += [
            asyncio.create_task(self._reports(index)) for index in range(fleet.hosts)
        ]
        began_at = now()
        async with asyncio.TaskGroup() as tasks:
            while (elapsed := now() - began_at) < fleet.seconds:
                await asyncio.sleep(self._arrivals.expovariate(most))
                swing = fleet.swing * math.sin(math.tau * elapsed / fleet.swing_seconds)
                if self._arrivals.random() * most < capacity * fleet.load * (1 + swing):
                    tasks.create_task(self._request(*self._draw()))
        for task in background:
            task.cancel()
        return self

    async def _reports(self, index):
        await asyncio.sleep(self.rng.random() * self.fleet.count_seconds)
        while True:
            for state in self.hosts[index]:
                self._reported[index][state.entry.name] = state.in_flight
            await asyncio.sleep(self.fleet.count_seconds)

    async def _notices(self):
        while True:
            await asyncio.sleep(self.fleet.count_seconds)
            totals = Counter()
            for reported in self._reported:
                totals.update(reported)
            for states in self.hosts:
                for state in states:
                    total = totals[state.entry.name]
                    state.remote_in_flight = max(0.0, total - state.in_flight)
            if self.fleet.shares:
                self._share()

    def _share(self):
        shared = [room.shared for room in self.rooms if room.shared is not None]
        if shared:
            middle = sorted(shared, key=lambda room: room.per_slot)[len(shared) // 2]
            for room in self.rooms:
                room.adopt(middle)

    def _draw(self):
        """Return whether a request is safe, and its work in seconds."""
        is_safe = self._arrivals.random() >= self.fleet.unsafe_fraction
        sigma = self.fleet.tail_sigma
        mean = math.log(self.fleet.mean_seconds) - sigma**2 / 2
        return is_safe, self._arrivals.lognormvariate(mean, sigma)

    async def _request(self, is_safe, work):
        """Play one caller, who repeats a request only after a refusal."""
        arrived_at = now()
        self.counts["requests"] += 1
        for turn in range(1 + self.fleet.caller_retries):
            if turn:
                await asyncio.sleep(RETRY_AFTER_SECONDS * self.rng.uniform(0.7, 1.3))
            outcome = await self._forward(work, is_safe)
            self.counts[outcome] += 1
            if outcome != "refused":
                break
        if outcome == "served" and now() - arrived_at <= OBJECTIVE_SECONDS:
            self.counts["in time"] += 1

    async def _forward(self, work, is_safe):
        """Return the outcome of a request at one host."""
        states, tried = self.rng.choice(self.hosts), set()
        while len(tried) < MAX_ATTEMPTS:
            known = states
            if self.fleet.is_bounded:
                known = targets_with_room(states, tried, is_safe, self.rng)
            state = choose_target(known, "z1", OBJECTIVE_SECONDS, tried, self.rng)
            if state is None:
                return "refused"
            queue_seconds = expected_queue_seconds(state, mean_service_seconds(states))
            if queue_seconds > MAX_QUEUE_SECONDS:
                return "refused"
            result = await self._attempt(state, work, is_safe)
            if result.outcome is AttemptOutcome.SERVED:
                return "served"
            tried.add(state.entry.name)
            if isinstance(result.verdict, MayHaveRun) and not is_safe:
                return "unsafe reset"
            self.counts["rejected"] += 1
        return "refused" if isinstance(result.verdict, NotRun) else "safe reset"

    async def _attempt(self, state, work, is_safe):
        started_at = now()
        at_send = state.estimated_in_flight
        was_unqueued = state.has_free_slot
        state.in_flight += 1
        try:
            result = await self._exchange(self.targets[state.entry.name], work)
        finally:
            state.in_flight -= 1
        seconds = now() - started_at
        state.record_occupancy(result, at_send, seconds, is_safe)
        state.record_attempt(result.outcome, seconds, was_unqueued)
        return result

    async def _exchange(self, other, work):
        fleet = self.fleet
        await asyncio.sleep(NETWORK_SECONDS / 2)
        if other.held >= fleet.slots + fleet.queue:
            load = self._load(other)
            await asyncio.sleep(NETWORK_SECONDS / 2)
            if fleet.resets:
                lost = MayHaveRun(Reason.CONNECTION_LOST, "")
                return AttemptResult(lost, AttemptOutcome.CONNECTION_LOST)
            refused = NotRun(Reason.TARGET_SHED)
            return AttemptResult(refused, AttemptOutcome.SHED, load=load)
        other.held += 1
        other.most_held = max(other.most_held, other.held)
        async with other.slots:
            other.running += 1
            await asyncio.sleep(work / other.speed)
            other.running -= 1
        other.held -= 1
        other.completed += 1
        load = self._load(other)
        await asyncio.sleep(NETWORK_SECONDS / 2)
        return AttemptResult(SERVED, AttemptOutcome.SERVED, load=load)

    def _load(self, other):
        return None if self.fleet.load_of is None else self.fleet.load_of(other)


def true_load(other):
    """Report the load of a target as it is."""
    return TargetLoad(other.running, other.held - other.running, 4)
