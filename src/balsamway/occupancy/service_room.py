"""How many requests the targets of a service hold before they refuse more."""

from __future__ import annotations

import logging
import math
from collections import deque
from dataclasses import dataclass

from balsamway.clock import now

EVIDENCE_SECONDS = 10.0
"""How long a first reset counts while others are awaited. It is shorter than
the usual distance between two lost targets."""
MIN_RESET_TARGETS = 2
"""The number of different targets that must reset connections while they are
estimated to be full until that is taken for their behaviour. One target that
terminates also resets connections."""
MIN_ROOM_PER_SLOT = 1.25
"""Bounds the learned room from below, so that all slots remain in use."""
MAX_ROOM_PER_SLOT = 64.0
"""Bounds the learned room from above."""
RAISE_WEIGHT = 0.3
"""The weight of a higher occupancy at a refusal or reset in the learned room.
Counts lag behind and miss short peaks, so the highest ones are nearest to the
room."""
LOWER_WEIGHT = 0.02
"""The weight of a lower occupancy at a refusal or reset."""
SHARED_WEIGHT = 0.2
"""The weight of what all hosts learned, for each report of it."""
INCREASE_PER_SLOT = 0.001
"""The increase of the room by a request that was served although its target
was estimated to be near the limit, in case the targets accept more now."""
NEAR_LIMIT_PER_SLOT = 0.5
"""How far below the limit, per slot, a target counts as near it."""
MARGIN_DEVIATIONS = 0.5
"""The margin for requests that may not be repeated, in standard deviations of
the estimate."""
RAMP_DEVIATIONS = 2.5
"""The range of occupancy over which a target receives fewer and fewer
requests, in standard deviations of the estimate. With a sudden bound, all
hosts start and stop at the same counts."""

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class SharedRoom:
    """What a host learned about a service, for the other hosts."""

    per_slot: float
    is_resetting: bool


class ServiceRoom:
    """Learns the room of the targets of one service, which are alike.

    There is no bound until targets refused requests, or reset connections,
    while they were estimated to have all slots in use. Refusals count only if
    the targets report their load, so that services which refuse without
    reporting are served as before.
    """

    def __init__(self, service: str) -> None:
        """Start without a bound.

        Args:
            service: The name of the service, for the log.
        """
        self._service = service
        self._per_slot: float | None = None
        self._is_resetting = False
        self._resets: deque[tuple[float, str, float]] = deque(maxlen=16)
        self.refused_for_fullness = 0
        """The number of requests refused because all targets were full."""
        self.refusals = 0
        """The number of refusals by targets that counted as fullness."""
        self.resets = 0
        """The number of resets that counted as fullness."""
        self.unreadable_loads = 0
        """The number of responses with a load that cannot be decoded."""

    @property
    def is_resetting(self) -> bool:
        """Whether full targets of the service are known to reset."""
        return self._is_resetting

    @property
    def shared(self) -> SharedRoom | None:
        """What other hosts may use until they learned it themselves."""
        if self._per_slot is None:
            return None
        return SharedRoom(self._per_slot, self._is_resetting)

    def room(self, capacity: int) -> float:
        """Return how many requests a target holds before it refuses more.

        Args:
            capacity: The number of requests that the target executes at a
                time.

        Returns:
            The number, infinite until something was learned.
        """
        if self._per_slot is None:
            return math.inf
        return self._per_slot * max(1, capacity)

    def limit(self, capacity: int, is_repeatable: bool, deviation: float) -> float:
        """Return the occupancy at which a target receives no request.

        Args:
            capacity: The number of requests that the target executes at a
                time.
            is_repeatable: Whether the request may be sent again after a reset.
            deviation: The standard deviation of the estimated occupancy.

        Returns:
            The occupancy, infinite until something was learned.
        """
        room = self.room(capacity)
        if is_repeatable or not self._is_resetting:
            return room
        margin = MARGIN_DEVIATIONS * deviation
        return max(MIN_ROOM_PER_SLOT * max(1, capacity), room - margin)

    def fraction(
        self, occupancy: float, capacity: int, is_repeatable: bool, deviation: float
    ) -> float:
        """Return the fraction of the requests that a target may receive.

        Where full targets reset, it falls from 1 to 0 over a range below the
        limit that is as wide as the estimate is uncertain, and leaves the
        slots in use. A refusal does little harm, so there it falls at once.

        Args:
            occupancy: The estimated requests at the target.
            capacity: The number of requests that the target executes at a
                time.
            is_repeatable: Whether the request may be sent again after a reset.
            deviation: The standard deviation of the estimated occupancy.
        """
        limit = self.limit(capacity, is_repeatable, deviation)
        if occupancy >= limit:
            return 0.0
        if not self._is_resetting:
            return 1.0
        ramp = min(RAMP_DEVIATIONS * deviation, limit - capacity)
        return min(1.0, (limit - occupancy) / ramp) if ramp > 0 else 1.0

    def on_refused(self, target: str, occupancy: float, capacity: int) -> None:
        """Record a refusal by a target that was estimated to be full.

        Args:
            target: The name of the target.
            occupancy: Its estimated or reported requests.
            capacity: The number of requests that it executes at a time.
        """
        self.refusals += 1
        self._learn(target, occupancy / max(1, capacity), "refusal")

    def on_reset(self, target: str, occupancy: float, capacity: int) -> None:
        """Record a reset by a target that was estimated to be full.

        Args:
            target: The name of the target.
            occupancy: Its estimated requests.
            capacity: The number of requests that it executes at a time.
        """
        per_slot = occupancy / max(1, capacity)
        self.resets += 1
        if self._is_resetting:
            self._learn(target, per_slot, "reset")
            return
        self._resets.append((now(), target, per_slot))
        recent = [
            reset for reset in self._resets if now() - reset[0] < EVIDENCE_SECONDS
        ]
        if len({name for _, name, _ in recent}) < MIN_RESET_TARGETS:
            return
        self._is_resetting = True
        self._learn(target, max(value for _, _, value in recent), "reset")

    def on_served(self, occupancy: float, limit: float, capacity: int) -> None:
        """Record that a target served a request.

        Args:
            occupancy: The estimated requests at the target when it was sent.
            limit: The occupancy at which the request was not sent.
            capacity: The number of requests that the target executes at a
                time.
        """
        if self._per_slot is None:
            return
        if occupancy >= limit - NEAR_LIMIT_PER_SLOT * max(1, capacity):
            self._set(self._per_slot + INCREASE_PER_SLOT)

    def adopt(self, shared: SharedRoom) -> None:
        """Combine what this host learned with what the hosts learned.

        Args:
            shared: What the hosts learned, as the leader combined it.
        """
        if not MIN_ROOM_PER_SLOT <= shared.per_slot <= MAX_ROOM_PER_SLOT:
            return
        self._is_resetting = self._is_resetting or shared.is_resetting
        if self._per_slot is None:
            self._set(shared.per_slot)
            self._log("report")
            return
        self._set(self._per_slot + SHARED_WEIGHT * (shared.per_slot - self._per_slot))

    def dump(self) -> dict[str, object]:
        """Return what was learned, for the state dump."""
        return {
            "per_slot": None if self._per_slot is None else round(self._per_slot, 2),
            "resets_when_full": self._is_resetting,
            "refusals": self.refusals,
            "resets": self.resets,
            "refused_for_fullness": self.refused_for_fullness,
            "unreadable_loads": self.unreadable_loads,
        }

    def _learn(self, target: str, per_slot: float, source: str) -> None:
        if self._per_slot is None:
            self._set(per_slot)
            self._log(source, target)
            return
        weight = RAISE_WEIGHT if per_slot > self._per_slot else LOWER_WEIGHT
        self._set(self._per_slot + weight * (per_slot - self._per_slot))

    def _set(self, per_slot: float) -> None:
        self._per_slot = min(MAX_ROOM_PER_SLOT, max(MIN_ROOM_PER_SLOT, per_slot))

    def _log(self, source: str, target: str | None = None) -> None:
        logger.info(
            "service-room-learned",
            extra={
                "service": self._service,
                "per_slot": self._per_slot,
                "resets_when_full": self._is_resetting,
                "source": source,
                "target": target,
            },
        )
