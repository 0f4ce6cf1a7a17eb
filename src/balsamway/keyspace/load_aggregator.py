"""The load on targets and keys, summed by the leader."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from balsamway.clock import now

if TYPE_CHECKING:
    from balsamway.keyspace.messages import LoadNotice

REPORT_INTERVAL_SECONDS = 0.2
"""The interval at which hosts report. Requests take about a tenth of a second.
A host that knows the other hosts' requests of 0.4 s ago sends its own requests
to targets where a queue has formed since."""
MAX_HOSTS_AT_FULL_RATE = 16
"""The most hosts that report at the full rate. More hosts report less often,
so that the leader's traffic does not grow with the square of their number. The
largest deployments have twelve hosts, and a few may be added."""
MAX_REPORT_INTERVAL_SECONDS = 0.8
"""The longest interval between reports. It is short enough that a host may
miss a notice without assuming that the leader is lost."""
HALF_LIFE_SECONDS = 0.8
"""The half-life of request counts. Hot keys change within seconds."""
RATE_WINDOW_SECONDS = 2 * HALF_LIFE_SECONDS / math.log(2)
"""The window over which a plain count has the same variance as a count that
decays with the half-life."""
MIN_COUNTED_SECONDS = 0.8
"""The shortest time to divide a count by. Counts over a shorter time are not
scaled up to a rate, since they vary too much."""
HOST_EXPIRY_SECONDS = 20.0
"""How long an entry host is known after its last report."""
IN_FLIGHT_EXPIRY_SECONDS = 1.5
"""How long a host's count of requests in flight is used after its report."""
SERVICE_TIME_SAMPLES = 40
"""About how many responses a target's service time is averaged over. Single
requests differ by a factor of two and more."""
BUSY_LOAD_FACTOR = 1.5
"""A target with at least this many requests in flight for each that it can run
at a time is taken to be always busy."""
MIN_BUSY_RESPONSES = 4
"""The number of a busy target's responses from which its service time is
estimated."""
MIN_DECAYED_COUNT = 0.02
"""Decayed counts of a key's requests below this are dropped."""


def report_interval_seconds(hosts: int) -> float:
    """Return the interval at which each host reports to the leader.

    The leader sends its own notices to the hosts at the same interval.

    Args:
        hosts: The number of entry hosts.

    Returns:
        The interval in seconds.
    """
    seconds = REPORT_INTERVAL_SECONDS * max(1.0, hosts / MAX_HOSTS_AT_FULL_RATE)
    return min(MAX_REPORT_INTERVAL_SECONDS, seconds)


@dataclass(slots=True)
class TargetLoad:
    """The load on one target, summed over the reports of all hosts."""

    in_flight: dict[str, tuple[float, int]] = field(default_factory=dict)
    """For each host, when it reported and its number of requests in flight."""
    service_seconds: float | None = None
    """The service time of a request, without queueing. None if unknown."""
    responses: int = 0
    """The number of responses since the last estimate."""
    busy_responses: int = 0
    """The number of responses since `busy_since`."""
    busy_since: float | None = None
    """Since when the target has been busy without a pause, if it is busy."""

    def add_unqueued(self, responses: int, seconds: float) -> None:
        """Add unqueued responses, whose latency is the service time.

        Args:
            responses: The number of responses.
            seconds: The sum of their latencies.
        """
        if responses:
            self._update_service_time(seconds / responses, responses)

    def add_responses(self, responses: int, capacity: int) -> None:
        """Add all responses, and estimate the service time of a busy target.

        A busy target always runs as many requests as it can, so its service
        time follows from the rate of its responses.

        Args:
            responses: The number of responses.
            capacity: How many requests the target runs at a time.
        """
        if self.total_in_flight() < BUSY_LOAD_FACTOR * capacity:
            self.busy_since, self.busy_responses = None, 0
            return
        if self.busy_since is None:
            self.busy_since, self.busy_responses = now(), 0
            return
        self.busy_responses += responses
        if self.busy_responses >= MIN_BUSY_RESPONSES:
            seconds = (now() - self.busy_since) * capacity / self.busy_responses
            self._update_service_time(seconds, self.busy_responses)
            self.busy_since, self.busy_responses = now(), 0

    def _update_service_time(self, seconds: float, responses: int) -> None:
        if self.service_seconds is None:
            self.service_seconds = seconds
            return
        weight = responses / (responses + SERVICE_TIME_SAMPLES)
        self.service_seconds += weight * (seconds - self.service_seconds)

    def total_in_flight(self) -> int:
        """Return the sum of the requests in flight in recent reports."""
        oldest = now() - IN_FLIGHT_EXPIRY_SECONDS
        return sum(count for at, count in self.in_flight.values() if at >= oldest)


class LoadAggregator:
    """Sums the load that the entry hosts report."""

    def __init__(self) -> None:
        self._hosts: dict[str, tuple[float, str]] = {}
        self._targets: dict[str, TargetLoad] = {}
        self._keys: dict[str, dict[int, float]] = {}
        self._counted_since: dict[str, float] = {}
        """When the first requests of each service were counted."""
        self._decayed_at = now()
        self._rooms: dict[str, dict[str, tuple[float, bool]]] = {}
        """What each host learned of the room of the targets, by service."""
        self.limits: dict[str, float] = {}
        """The requests per second that a target accepts from all hosts, by
        name, for those that name a limit."""

    @property
    def hosts(self) -> dict[str, str]:
        """The peer address of each host that reported lately, by host name."""
        oldest = now() - HOST_EXPIRY_SECONDS
        return {name: addr for name, (at, addr) in self._hosts.items() if at >= oldest}

    def add(self, notice: LoadNotice) -> None:
        """Add the report of a host.

        Args:
            notice: The load that the host saw since its last report.
        """
        self._hosts[notice.host] = (now(), notice.address)
        for name, counts in notice.targets.items():
            in_flight, responses, unqueued_responses, unqueued_ms = counts
            load = self._targets.setdefault(name, TargetLoad())
            load.in_flight[notice.host] = (now(), in_flight)
            load.add_unqueued(unqueued_responses, unqueued_ms / 1000)
            load.responses += responses
        self._rooms[notice.host] = notice.rooms
        for service, counts_by_key in notice.keys.items():
            rates = self._keys.setdefault(service, {})
            self._counted_since.setdefault(service, now() - REPORT_INTERVAL_SECONDS)
            for key, count in counts_by_key.items():
                rates[key] = rates.get(key, 0.0) + count

    def decay(self, capacities: dict[str, int]) -> None:
        """Decay the request counts and estimate the targets' service times.

        Args:
            capacities: How many requests each target runs at a time. Other
                targets are removed.
        """
        factor = 0.5 ** ((now() - self._decayed_at) / HALF_LIFE_SECONDS)
        self._decayed_at = now()
        for rates in self._keys.values():
            for key in list(rates):
                rates[key] *= factor
                if rates[key] < MIN_DECAYED_COUNT:
                    del rates[key]
        for name in [name for name in self._targets if name not in capacities]:
            del self._targets[name]
        for name, load in self._targets.items():
            load.add_responses(load.responses, capacities[name])
            load.responses = 0

    def key_rates(self, service: str) -> dict[int, float]:
        """Return the request rate of each key of a service that has one.

        Args:
            service: The name of the service.

        Returns:
            The requests per second, by key.
        """
        # The decayed count of a steady rate r tends to r x half-life / ln 2.
        reached = 1 - 0.5 ** (self._counted_seconds(service) / HALF_LIFE_SECONDS)
        scale = math.log(2) / HALF_LIFE_SECONDS / reached
        return {
            key: count * scale for key, count in self._keys.get(service, {}).items()
        }

    def rate_window_seconds(self, service: str) -> float:
        """Return the window of a plain count with the variance of the rates.

        Args:
            service: The name of the service.

        Returns:
            The window in seconds.
        """
        return min(RATE_WINDOW_SECONDS, self._counted_seconds(service))

    def _counted_seconds(self, service: str) -> float:
        """Return how long a service's requests have been counted."""
        counted = now() - self._counted_since.get(service, now())
        return max(counted, MIN_COUNTED_SECONDS)

    def rooms(self) -> dict[str, tuple[float, bool]]:
        """Return the median room of the targets of each service."""
        hosts = self.hosts
        by_service: dict[str, list[tuple[float, bool]]] = {}
        for host, rooms in self._rooms.items():
            if host in hosts:
                for service, room in rooms.items():
                    by_service.setdefault(service, []).append(room)
        return {
            service: sorted(rooms)[len(rooms) // 2]
            for service, rooms in by_service.items()
        }

    def targets(self) -> dict[str, TargetLoad]:
        """Return the load on each target, by name."""
        return self._targets
