"""A target that all hosts send to at a pace, without a network."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from balsamway.keyspace.load_aggregator import report_interval_seconds
from balsamway.pace import Interval, TargetPace

STEP_SECONDS = 0.01
SLOTS = 4
QUEUE = 16
SERVICE_SECONDS = 0.16
FULL_RATE = SLOTS / SERVICE_SECONDS


@dataclass
class ModelTarget:
    """Runs 4 requests at a time, queues 16 and resets what exceeds that."""

    speed_at: object = lambda time: 1.0
    """Returns the speed at a time, 1 for the usual one."""
    fails_at: object = lambda time: False
    """Returns whether requests fail at once at a time."""
    lies_at: object = lambda time: False
    """Returns whether refused requests are shown as answered at once."""
    waiting: deque = field(default_factory=deque)
    running: list = field(default_factory=list)
    served: int = 0
    overflow: int = 0

    def step(self, time, arrivals):
        """Run one step, and return what the hosts saw in it."""
        speed = self.speed_at(time)
        refused = failed = answered = 0
        seconds = 0.0
        for _ in range(arrivals):
            if self.fails_at(time):
                failed += 1
            elif len(self.running) + len(self.waiting) >= SLOTS + QUEUE:
                self.overflow += 1
                if self.lies_at(time):
                    answered += 1
                    seconds += 0.001
                else:
                    refused += 1
            else:
                self.waiting.append(time)
        while self.waiting and len(self.running) < SLOTS:
            self.running.append([self.waiting.popleft(), SERVICE_SECONDS])
        for request in self.running:
            request[1] -= speed * STEP_SECONDS
        for request in [one for one in self.running if one[1] <= 1e-9]:
            self.running.remove(request)
            self.served += 1
            answered += 1
            seconds += time - request[0]
        return Interval(answered, seconds, refused, failed)


@dataclass
class Play:
    """What one run of the model showed."""

    served: int
    overflow: int
    rates: list
    """The time, the pace and the requests served so far, at each step."""

    def full_after(self):
        """Return when nine tenths of the full rate were first allowed."""
        return next((at for at, rate, _ in self.rates if rate >= 0.9 * FULL_RATE), None)

    def served_between(self, begin, end):
        counts = [served for at, _, served in self.rates if begin <= at < end]
        return counts[-1] - counts[0]


def play_pace(target, seconds, hosts=12, demand=2 * FULL_RATE, lost=(1e9, 1e9)):
    """Play one shared pace, decided at the interval of that many hosts.

    Args:
        lost: Between which times no host issues the pace.
    """
    pace = TargetPace(SLOTS, SERVICE_SECONDS)
    pace.begin(0.0)
    interval_seconds = report_interval_seconds(hosts)
    seen = Interval()
    evaluated_at = 0.0

    def rate(time, step):
        nonlocal seen, evaluated_at
        seen = seen.plus(step)
        is_lost = lost[0] <= time < lost[1]
        if time - evaluated_at >= interval_seconds and not is_lost:
            pace.observe(seen, time)
            seen, evaluated_at = Interval(), time
        limit = pace.requests_per_second
        return demand if limit is None else min(limit, demand)

    return play(target, seconds, rate)


def play(target, seconds, rate):
    """Send at a rate that depends on the time and on the last step."""
    credit = 0.0
    rates = []
    step = Interval()
    for number in range(round(seconds / STEP_SECONDS)):
        time = number * STEP_SECONDS
        current = rate(time, step)
        credit += current * STEP_SECONDS
        arrivals = int(credit)
        credit -= arrivals
        step = target.step(time, arrivals)
        rates.append((time, current, target.served))
    return Play(target.served, target.overflow, rates)


def play_slow_start(target, seconds, warm_seconds=3.0, demand=2 * FULL_RATE):
    """Raise the rate from 1/20 of the demand by time alone."""
    return play(
        target, seconds, lambda time, _: demand * min(1.0, 0.05 + time / warm_seconds)
    )


def play_aimd(target, seconds, hosts, demand=2 * FULL_RATE, is_gradient=False):
    """Let each host bound its requests in flight by itself.

    With a latency gradient, the bound follows the usual time divided by the
    present one instead of refusals.
    """
    bounds = [1.0] * hosts
    mean = SERVICE_SECONDS
    turn = 0

    def rate(time, step):
        nonlocal mean, turn
        if step.answered:
            mean += 0.3 * (step.mean_seconds - mean)
        for _ in range(step.answered):
            turn = (turn + 1) % hosts
            if is_gradient:
                gradient = min(1.0, max(0.5, 1.5 * SERVICE_SECONDS / mean))
                bounds[turn] = max(1.0, bounds[turn] * gradient + 0.1)
            else:
                bounds[turn] += 1.0 / bounds[turn]
        for _ in range(step.refused + step.failed):
            turn = (turn + 1) % hosts
            bounds[turn] = max(1.0, bounds[turn] / 2)
        in_flight = len(target.waiting) + len(target.running)
        room = max(0.0, sum(bounds) - in_flight)
        return min(demand, room / STEP_SECONDS)

    return play(target, seconds, rate)
