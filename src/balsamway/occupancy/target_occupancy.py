"""The estimated number of requests at one target, of all hosts."""

from __future__ import annotations

import logging
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.occupancy.target_load import LoadAnswer, TargetLoad, UnreadableLoad

if TYPE_CHECKING:
    from balsamway.occupancy.service_room import ServiceRoom

REPORT_DECAY_SECONDS = 0.4
"""The time constant with which a reported load loses its weight. The speed of
a target changes about every 0.4 s, and requests take some tenths of a
second."""
MAX_REPORT_WEIGHT = 0.8
"""The weight of a load that was reported just now, from 0 to 1."""
MAX_SHIFT_PER_SLOT = 2.0
"""Bounds how far a reported load may move the estimate from the counts of the
hosts, per slot, so that a false load neither idles nor floods a target."""
MIN_SLOWDOWN = 0.25
"""Bounds the slowdown that a target may report."""
MAX_SLOWDOWN = 4.0
"""The same, from above. The targets are known to be up to 3 times slower."""
COUNT_EXPIRY_SECONDS = 1.5
"""How long the counts of other hosts are used without a newer notice."""
DISTRUST_SECONDS = 5.0
"""How long the load of a target is ignored that was full while it reported
less than the hosts had counted."""
MAX_LOGGED_CHARACTERS = 40
"""Bounds the logged part of a load that cannot be decoded, in characters."""

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class RemoteCount:
    """The requests of other hosts at a target, from the leader's notice."""

    requests: float
    received_at: float
    """When the notice arrived, in event loop time."""
    interval_seconds: float = 0.0
    """The time since the notice before it. Hosts report to the leader at the
    same interval."""

    @property
    def is_current(self) -> bool:
        """Whether the notice is new enough for the count to be used."""
        return now() - self.received_at <= COUNT_EXPIRY_SECONDS

    @property
    def age_seconds(self) -> float:
        """The expected age of the count."""
        seconds = now() - self.received_at + 0.5 * self.interval_seconds
        return min(COUNT_EXPIRY_SECONDS, seconds)


class TargetOccupancy:
    """Combines the hosts' counts with what the target reports and refuses."""

    def __init__(self, target: str, room: ServiceRoom) -> None:
        """Start without a report.

        Args:
            target: The name of the target, for the log.
            room: The learned room of the target's service.
        """
        self._target = target
        self.room = room
        self._load: TargetLoad | None = None
        self._loaded_at = -math.inf
        self._reported_others = 0.0
        self._distrusted_until = -math.inf
        self._full_at = -math.inf
        self._full_requests = 0.0
        self._full_drain_per_second = 1.0
        self._has_warned = False

    @property
    def reports_load(self) -> bool:
        """Whether the target has reported its load."""
        return self._load is not None

    @property
    def slowdown(self) -> float:
        """How long work takes now relative to usual; 1 if it is not known."""
        if self._load is None:
            return 1.0
        slowdown = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, self._load.slowdown))
        return 1.0 + self._report_decay() * (slowdown - 1.0)

    def on_load(self, answer: LoadAnswer | None, own_requests: int) -> None:
        """Apply the load that a response reports.

        Args:
            answer: The load; None if the response reports none.
            own_requests: This host's requests in flight at the target.
        """
        match answer:
            case TargetLoad():
                self._load = answer
                self._loaded_at = now()
                self._reported_others = max(0.0, answer.total - own_requests)
            case UnreadableLoad(text=text):
                self.room.unreadable_loads += 1
                if not self._has_warned:
                    self._has_warned = True
                    logger.warning(
                        "target-load-unreadable",
                        extra={
                            "target": self._target,
                            "text": text[:MAX_LOGGED_CHARACTERS],
                        },
                    )

    def estimate(self, own_requests: int, remote: RemoteCount, capacity: int) -> float:
        """Return the estimated number of requests at the target.

        Args:
            own_requests: This host's requests in flight there.
            remote: The requests of the other hosts, as last counted.
            capacity: The number of requests that the target executes at a
                time.
        """
        counted = own_requests + self._counted_others(remote)
        estimate = counted + self._report_shift(counted - own_requests, capacity)
        full_seconds = now() - self._full_at
        full = self._full_requests - full_seconds * self._full_drain_per_second
        return max(estimate, full)

    def reported_within_bounds(
        self, answer: LoadAnswer | None, estimate: float, capacity: int
    ) -> float:
        """Return how many requests a target held that refused one.

        Args:
            answer: The load that the refusal reports, if any.
            estimate: The requests at the target, as estimated.
            capacity: The number of requests that the target executes at a
                time.

        Returns:
            What the target reports, if that is near the estimate and not below
            its slots, else the estimate.
        """
        bound = MAX_SHIFT_PER_SLOT * max(1, capacity)
        match answer:
            case TargetLoad() if answer.total >= capacity:
                return min(estimate + bound, max(estimate - bound, answer.total))
        return estimate

    def on_full(
        self,
        own_requests: int,
        remote: RemoteCount,
        capacity: int,
        service_seconds: float,
    ) -> None:
        """Record that the target refused or reset a request as it was full.

        It counts as full at once, less what it completes in the meantime, and
        its reports are ignored for a time if they had lowered the estimate.

        Args:
            own_requests: This host's requests in flight there.
            remote: The requests of the other hosts, as last counted.
            capacity: The number of requests that the target executes at a
                time.
            service_seconds: The service time of a request at the target.
        """
        if self._report_shift(self._counted_others(remote), capacity) < 0:
            self._distrusted_until = now() + DISTRUST_SECONDS
        room = self.room.room(capacity)
        if math.isfinite(room):
            self._full_at = now()
            self._full_requests = room
            self._full_drain_per_second = max(1, capacity) / max(0.001, service_seconds)

    def dump(self) -> dict[str, object] | None:
        """Return the last reported load, for the state dump."""
        if self._load is None:
            return None
        return {
            "running": self._load.running,
            "waiting": self._load.waiting,
            "slots": self._load.slots,
            "slowdown": self._load.slowdown,
            "age_seconds": round(now() - self._loaded_at, 3),
            "ignored_seconds": round(max(0.0, self._distrusted_until - now()), 3),
        }

    def _counted_others(self, remote: RemoteCount) -> float:
        return remote.requests if remote.is_current else 0.0

    def _report_shift(self, counted_others: float, capacity: int) -> float:
        if self._load is None or now() < self._distrusted_until:
            return 0.0
        bound = MAX_SHIFT_PER_SLOT * max(1, capacity)
        shift = min(bound, max(-bound, self._reported_others - counted_others))
        return MAX_REPORT_WEIGHT * self._report_decay() * shift

    def _report_decay(self) -> float:
        return math.exp((self._loaded_at - now()) / REPORT_DECAY_SECONDS)
