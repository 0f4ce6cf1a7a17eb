"""What the leader knows of the load on targets and keys."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from balsamway.clock import now

if TYPE_CHECKING:
    from balsamway.keyspace.messages import LoadNotice

REPORT_INTERVAL_SECONDS = 0.2
"""How often hosts report. Requests take a tenth of a second, and a host that
knows the others' requests of 0.4 s ago sends its own where the queue is."""
HOSTS_AT_FULL_RATE = 16
"""With more hosts than this they report less often, so that what the leader
sends does not grow with their square. The largest of today's deployments have
twelve, and a few that may be added."""
LONGEST_REPORT_SECONDS = 0.8
"""So that hosts miss a notice without taking the leader for lost."""
HALF_LIFE_SECONDS = 0.8
"""How fast old requests fade; hot keys change within seconds."""
RATE_SECONDS = 2 * HALF_LIFE_SECONDS / math.log(2)
"""The span over which a plain count would vary as much as a fading one."""
LEAST_COUNTED_SECONDS = 0.8
"""Counts of a shorter time are not scaled up to a rate; they vary too much."""
HOST_SECONDS = 20.0
"""How long an entry host counts after its last notice."""
IN_FLIGHT_SECONDS = 1.5
"""How long a host's count of requests in flight is believed."""
SERVICE_SAMPLES = 40
"""About how many answers a target's service time is the mean of; single ones
differ by a factor of two and more."""
BUSY_FACTOR = 1.5
"""A target with this many requests for each that it can run is never idle."""
BUSY_ANSWERS = 4
"""The answers of a busy target after which its pace is judged."""
FADE_BELOW = 0.02
"""Rates below this are forgotten."""


def report_interval_seconds(hosts: int) -> float:
    """Gives how often each host reports, and the leader tells all of them.

    Args:
        hosts: How many entry hosts there are.
    """
    seconds = REPORT_INTERVAL_SECONDS * max(1.0, hosts / HOSTS_AT_FULL_RATE)
    return min(LONGEST_REPORT_SECONDS, seconds)


@dataclass(slots=True)
class TargetLoad:
    """What the hosts report of a target, summed."""

    in_flight: dict[str, tuple[float, int]] = field(default_factory=dict)
    service_seconds: float | None = None
    """How long a request takes without a queue."""
    answers: int = 0
    """All answers since the last estimate."""
    busy_answers: int = 0
    busy_since: float | None = None
    """Since when it has been busy without a pause, if it is."""

    def add_prompt(self, answers: int, seconds: float) -> None:
        """Takes in answers that found no queue.

        Args:
            answers: Their number.
            seconds: Their latencies, summed.
        """
        if answers:
            self._learn(seconds / answers, answers)

    def add_answers(self, answers: int, capacity: int) -> None:
        """Takes in all answers, from which a busy target's pace shows.

        Args:
            answers: Their number.
            capacity: How many requests it runs at a time.
        """
        if self.total_in_flight() < BUSY_FACTOR * capacity:
            self.busy_since, self.busy_answers = None, 0
            return
        if self.busy_since is None:
            self.busy_since, self.busy_answers = now(), 0
            return
        self.busy_answers += answers
        if self.busy_answers >= BUSY_ANSWERS:
            seconds = (now() - self.busy_since) * capacity / self.busy_answers
            self._learn(seconds, self.busy_answers)
            self.busy_since, self.busy_answers = now(), 0

    def _learn(self, seconds: float, answers: int) -> None:
        if self.service_seconds is None:
            self.service_seconds = seconds
            return
        weight = answers / (answers + SERVICE_SAMPLES)
        self.service_seconds += weight * (seconds - self.service_seconds)

    def total_in_flight(self) -> int:
        """Sums the requests in flight that lately were reported."""
        since = now() - IN_FLIGHT_SECONDS
        return sum(count for at, count in self.in_flight.values() if at >= since)


class LoadAggregator:
    """Adds up the notices of the entry hosts."""

    def __init__(self) -> None:
        self._hosts: dict[str, tuple[float, str]] = {}
        self._targets: dict[str, TargetLoad] = {}
        self._keys: dict[str, dict[int, float]] = {}
        self._counted_since: dict[str, float] = {}
        """Since when the requests of a service have been counted."""
        self._faded_at = now()

    @property
    def hosts(self) -> dict[str, str]:
        """The peer address of each host that was heard lately."""
        since = now() - HOST_SECONDS
        return {name: addr for name, (at, addr) in self._hosts.items() if at >= since}

    def add(self, notice: LoadNotice) -> None:
        """Takes in the notice of a host.

        Args:
            notice: What the host saw since its last one.
        """
        self._hosts[notice.host] = (now(), notice.address)
        for name, counts in notice.targets.items():
            in_flight, answers, prompt_answers, prompt_ms = counts
            load = self._targets.setdefault(name, TargetLoad())
            load.in_flight[notice.host] = (now(), in_flight)
            load.add_prompt(prompt_answers, prompt_ms / 1000)
            load.answers += answers
        for service, found in notice.keys.items():
            rates = self._keys.setdefault(service, {})
            self._counted_since.setdefault(service, now() - REPORT_INTERVAL_SECONDS)
            for key, count in found.items():
                rates[key] = rates.get(key, 0.0) + count

    def decay(self, capacities: dict[str, int]) -> None:
        """Lets old requests fade, and estimates service times.

        Args:
            capacities: How many requests each target runs at a time.
        """
        factor = 0.5 ** ((now() - self._faded_at) / HALF_LIFE_SECONDS)
        self._faded_at = now()
        for rates in self._keys.values():
            for key in list(rates):
                rates[key] *= factor
                if rates[key] < FADE_BELOW:
                    del rates[key]
        for name in [name for name in self._targets if name not in capacities]:
            del self._targets[name]
        for name, load in self._targets.items():
            load.add_answers(load.answers, capacities[name])
            load.answers = 0

    def key_rates(self, service: str) -> dict[int, float]:
        """Gives the requests a second for each key of a service.

        Args:
            service: The service.
        """
        # A steady rate of r sums up to r x half life / ln 2 in the end.
        reached = 1 - 0.5 ** (self._counted_seconds(service) / HALF_LIFE_SECONDS)
        scale = math.log(2) / HALF_LIFE_SECONDS / reached
        return {k: n * scale for k, n in self._keys.get(service, {}).items()}

    def rate_seconds(self, service: str) -> float:
        """Gives the span of a plain count that varies as much as the rates.

        Args:
            service: The service.
        """
        return min(RATE_SECONDS, self._counted_seconds(service))

    def _counted_seconds(self, service: str) -> float:
        counted = now() - self._counted_since.get(service, now())
        return max(counted, LEAST_COUNTED_SECONDS)

    def targets(self) -> dict[str, TargetLoad]:
        """Gives what is known of each target."""
        return self._targets
