"""What the leader knows of the load on targets and keys."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from balsamway.clock import now

if TYPE_CHECKING:
    from balsamway.keyspace.messages import LoadNotice

HALF_LIFE_SECONDS = 1.2
"""How fast old requests fade; hot keys change within seconds."""
HOST_SECONDS = 20.0
"""How long an entry host counts after its last notice."""
IN_FLIGHT_SECONDS = 1.5
"""How long a host's count of requests in flight is believed."""
SERVICE_WEIGHT = 0.25
"""The weight of the newest notices in a target's service time."""
FADE_BELOW = 0.02
"""Rates below this are forgotten."""


@dataclass(slots=True)
class TargetLoad:
    """What the hosts report of a target, summed."""

    in_flight: dict[str, tuple[float, int]] = field(default_factory=dict)
    answered: float = 0.0
    busy_seconds: float = 0.0
    service_seconds: float | None = None

    def total_in_flight(self) -> float:
        """Sums the requests in flight that lately were reported."""
        since = now() - IN_FLIGHT_SECONDS
        return sum(count for at, count in self.in_flight.values() if at >= since)


class LoadBoard:
    """Adds up the notices of the entry hosts."""

    def __init__(self) -> None:
        self._hosts: dict[str, tuple[float, str]] = {}
        self._targets: dict[str, TargetLoad] = {}
        self._keys: dict[str, dict[int, float]] = {}
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
        for name, (in_flight, answered, seconds) in notice.targets.items():
            load = self._targets.setdefault(name, TargetLoad())
            load.in_flight[notice.host] = (now(), in_flight)
            load.answered += answered
            load.busy_seconds += seconds
        for service, counts in notice.keys.items():
            rates = self._keys.setdefault(service, {})
            for key, count in counts.items():
                rates[key] = rates.get(key, 0.0) + count

    def fade(self, capacities: dict[str, int]) -> None:
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
            _estimate(load, capacities[name])

    def key_rates(self, service: str) -> dict[int, float]:
        """Gives the requests a second for each key of a service.

        Args:
            service: The service.
        """
        # A steady rate of r sums up to r x half life / ln 2.
        scale = math.log(2) / HALF_LIFE_SECONDS
        return {k: n * scale for k, n in self._keys.get(service, {}).items()}

    def targets(self) -> dict[str, TargetLoad]:
        """Gives what is known of each target."""
        return self._targets


def _estimate(load: TargetLoad, capacity: int) -> None:
    """Estimates how long a request takes without a queue.

    While more are present than run at a time, the time in the target is
    longer than the service by that ratio.
    """
    if load.answered < 1:
        return
    seconds = load.busy_seconds / load.answered
    seconds /= max(1.0, load.total_in_flight() / max(1, capacity))
    if load.service_seconds is None:
        load.service_seconds = seconds
    else:
        load.service_seconds += SERVICE_WEIGHT * (seconds - load.service_seconds)
    load.answered = load.busy_seconds = 0.0
