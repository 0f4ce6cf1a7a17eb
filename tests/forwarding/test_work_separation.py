"""Short urgent requests beside long ones at many hosts.

Guards against urgent requests that miss their objective because long requests
of other routes hold all slots of their target, while other targets have room.
The load is that of filings (0.11 s, objective 0.41 s) and archive reads
(0.64 s, 2.0 s) at 47 targets of 4 slots with speeds of 0.7 and 1.6, sent by 85
hosts that learn of each other's requests 0.8 s late.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from balsamway.exchange import ConnectionPool
from balsamway.forwarding.target_choice import choose_target
from balsamway.forwarding.target_state import TargetState
from balsamway.forwarding.work_separation import (
    MIN_TARGETS,
    WorkSeparation,
    position_of,
)
from balsamway.routing import Backend, Route, RouteType
from tests.forwarding.conftest import target

pytestmark = pytest.mark.looptime

ZONES = ("z1", "z2", "z3")
HOSTS = 85
TARGETS = 47
SLOTS = 4
SPEEDS = (0.7, 0.7, 1.6)
REPORT_SECONDS = 0.8
SIMULATED_SECONDS = 10.0
LOAD_FACTOR = 1.4
"""The load at the peak of a wave, as a multiple of its mean."""
RATES = {"filing": 135.0, "archive": 106.0}
SERVICE_SECONDS = {"filing": 0.11, "archive": 0.64}
MIN_FILINGS_IN_TIME = 0.9
"""The least fraction of urgent requests that meet their objective with 0.62 of
the slots in use."""
MAX_READS_LOST = 0.05
"""The most that a less urgent kind of request of one service may fall behind,
as a fraction of its requests."""


def route(name, objective=1.0, priority=0, services=("s",)):
    backends = tuple(Backend(service, 1.0) for service in services)
    return Route(
        name, "h", f"/{name}/", RouteType.SAFE, 6.0, objective, priority, 2, backends
    )


FILING = route("filing", 0.408, 0)
ARCHIVE = route("archive", 2.01, 2)
ROUTES = {"filing": FILING, "archive": ARCHIVE}


class Fleet:
    """Plays the same arrivals with or without separation."""

    def __init__(self, is_separated):
        self.is_separated = is_separated
        self.rng = random.Random(1)
        names = [f"t{number}" for number in range(TARGETS)]
        self.speeds = {name: self.rng.choice(SPEEDS) for name in names}
        self.slots = {name: asyncio.Semaphore(SLOTS) for name in names}
        self.in_flight = dict.fromkeys(names, 0)
        self.hosts = []
        for number in range(HOSTS):
            separation = WorkSeparation()
            separation.replace(ROUTES.values())
            states = [self.state(name, index) for index, name in enumerate(names)]
            self.hosts.append((ZONES[number % 3], states, separation))
        self.in_time = {name: [] for name in ROUTES}

    def state(self, name, index):
        entry = target(name, zone=ZONES[index % 3], capacity=SLOTS)
        state = TargetState(entry, ConnectionPool("127.0.0.1:1", 9), 2.0)
        state.service_seconds = 0.34 / self.speeds[name]
        return state

    async def run(self):
        reports = asyncio.create_task(self.report())
        async with asyncio.TaskGroup() as tasks:
            for name, rate in RATES.items():
                seconds = 0.0
                while seconds < SIMULATED_SECONDS:
                    seconds += self.rng.expovariate(rate * LOAD_FACTOR)
                    host = self.hosts[self.rng.randrange(HOSTS)]
                    tasks.create_task(self.request(seconds, name, host))
        reports.cancel()
        return {
            name: sum(results) / len(results) for name, results in self.in_time.items()
        }

    async def report(self):
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            for _, states, _ in self.hosts:
                for state in states:
                    total = self.in_flight[state.entry.name]
                    state.remote_in_flight = total - state.in_flight

    async def request(self, arrival_seconds, name, host):
        await asyncio.sleep(arrival_seconds)
        zone, states, separation = host
        chosen_route = ROUTES[name]
        separation.record(chosen_route.id, "s")
        preference = None
        if self.is_separated:
            preference = separation.preference(chosen_route.id, "s", TARGETS)
        objective = chosen_route.objective_seconds
        state = choose_target(states, zone, objective, (), self.rng, preference)
        started_at = asyncio.get_running_loop().time()
        state.in_flight += 1
        self.in_flight[state.entry.name] += 1
        async with self.slots[state.entry.name]:
            factor = self.rng.lognormvariate(-0.18, 0.6)
            speed = self.speeds[state.entry.name]
            await asyncio.sleep(SERVICE_SECONDS[name] * factor / speed)
        state.in_flight -= 1
        self.in_flight[state.entry.name] -= 1
        seconds = asyncio.get_running_loop().time() - started_at
        self.in_time[name].append(seconds <= objective)


async def test_urgent_requests_are_in_time_beside_long_ones_at_85_hosts():
    mixed = await Fleet(is_separated=False).run()
    separated = await Fleet(is_separated=True).run()
    assert separated["filing"] >= MIN_FILINGS_IN_TIME > mixed["filing"]
    assert separated["archive"] >= mixed["archive"] - MAX_READS_LOST


def preference_of(requests, *routes, target_count=TARGETS):
    separation = WorkSeparation()
    separation.replace(routes)
    return separation.preference(requests.id, "s", target_count)


async def test_routes_with_similar_objectives_share_all_targets():
    other = route("other", 0.6, 2)
    assert preference_of(FILING, FILING, other) is None
    assert preference_of(other, FILING, other) is None


async def test_a_long_route_that_is_more_urgent_is_not_kept_away():
    urgent = route("urgent", 2.0, -1)
    assert preference_of(urgent, FILING, urgent) is None


async def test_a_route_alone_and_few_targets_are_not_separated():
    elsewhere = route("elsewhere", 2.0, 2, services=("t",))
    assert preference_of(FILING, FILING, elsewhere) is None
    assert preference_of(FILING, FILING, ARCHIVE, target_count=MIN_TARGETS - 1) is None


async def test_each_target_suits_either_short_or_long_requests():
    short = preference_of(FILING, FILING, ARCHIVE)
    long = preference_of(ARCHIVE, FILING, ARCHIVE)
    for number in range(100):
        position = position_of(f"t{number}")
        assert short.suits(position) != long.suits(position)


async def test_more_short_requests_get_more_targets():
    separation = WorkSeparation()
    separation.replace(ROUTES.values())
    before = separation.preference(FILING.id, "s", TARGETS)
    for _ in range(400):
        separation.record(FILING.id, "s")
    after = separation.preference(FILING.id, "s", TARGETS)
    assert after.short_share > before.short_share
    separation.replace(ROUTES.values())
    assert separation.preference(FILING.id, "s", TARGETS) == after
