"""The leader's knowledge of one service's keys."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.keyspace.hold_bound import HoldBound
from balsamway.keyspace.messages import KeyMapNotice

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from balsamway.keyspace.holder import Holder
    from balsamway.keyspace.key_record import KeyRecord
    from balsamway.keyspace.segment import Previous, Segment

GRANT_SECONDS = 0.05
"""About how long a grant takes."""
RELEASE_SECONDS = 0.3
"""About how long the work takes that a release waits for."""

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class Vacating:
    """A previous holder of a segment, until it no longer holds its keys."""

    segment: Segment
    previous: Previous
    granted_until: float
    """When its grant has run out, if each order under way was received."""
    bound: HoldBound
    """What the holder was granted, with what became of those orders."""
    is_done: bool = False
    is_unanswered: bool = False
    """Whether the last release got no answer, so that only time helps."""
    task: asyncio.Task[None] | None = None

    @property
    def until(self) -> float:
        """When its grant has run out, whatever it answers.

        Orders for other keys may prolong the bound on the holder, but not
        what it holds of this segment.
        """
        return min(self.granted_until, self.bound.until)


class ServiceKeys:
    """Holds the record in force and what is known beyond it."""

    def __init__(
        self,
        service: str,
        epoch: int,
        record: KeyRecord,
        version: int | None,
        granted_until: float,
        on_changed: Callable[[], None],
    ) -> None:
        """Takes over a record from the store.

        Args:
            service: The service.
            epoch: The epoch of this leadership.
            record: The record as stored.
            version: Its version in the store; None if it is not stored yet.
            granted_until: When all grants of earlier leaders have run out.
            on_changed: Called when the holders or their readiness changed.
        """
        self.service = service
        self.epoch = epoch
        self.record = record
        self.version = version
        self.renew_tokens_of: set[Holder] = set()
        """Holders that need new tokens, since they may have started again."""
        self._granted_until = granted_until
        self._bounds: dict[Holder, HoldBound] = {}
        self._confirmed: set[tuple[int, int, int]] = set()
        self._vacating: dict[tuple[int, int, Previous], Vacating] = {}
        self._handovers: dict[tuple[int, int], str] = {}
        self._on_changed = on_changed
        self._serial = 0
        self._adopt_vacating()

    def bound(self, holder: Holder) -> HoldBound:
        """Gives the bound on what a holder was granted.

        Args:
            holder: The holder.
        """
        found = self._bounds.get(holder)
        if found is None:
            found = self._bounds[holder] = HoldBound(self._granted_until)
        return found

    def vacating(self) -> Iterable[Vacating]:
        """Gives the previous holders that may still hold keys."""
        return [one for one in self._vacating.values() if not one.is_done]

    def segments_of(self, holder: Holder) -> list[Segment]:
        """Gives the segments whose grants go to a holder now.

        Args:
            holder: The holder.
        """
        return [
            one
            for one in self.record.segments
            if one.holder == holder and self._is_vacant(one)
        ]

    def is_confirmed(self, segment: Segment) -> bool:
        """Tells whether the holder accepted its grant.

        Args:
            segment: A segment of the record in force.
        """
        return (segment.first, segment.last, segment.token) in self._confirmed

    def handover(self, segment: Segment) -> str | None:
        """Gives what the last holder left for the next, if anything.

        Args:
            segment: A segment of the record in force.
        """
        return self._handovers.get(segment.keys)

    def on_confirmed(self, segment: Segment) -> None:
        """Notes that the holder accepted its grant.

        Args:
            segment: The segment that was granted.
        """
        entry = (segment.first, segment.last, segment.token)
        if entry in self._confirmed or segment not in self.record.segments:
            return
        self._confirmed.add(entry)
        self._handovers.pop(segment.keys, None)
        self._on_changed()

    def on_vacated(self, one: Vacating, how: str, handover: str | None) -> None:
        """Notes that a previous holder no longer holds a segment's keys.

        Args:
            one: The segment and the holder.
            how: What shows it.
            handover: What it left for the next holder.
        """
        one.is_done = True
        if handover is not None:
            self._handovers[one.segment.keys] = handover
        logger.info(
            "keys-vacated",
            extra={
                "service": self.service,
                "first": one.segment.first,
                "last": one.segment.last,
                "target": one.previous.holder.name,
                "token": one.previous.release_token,
                "how": how,
            },
        )

    def replace(self, record: KeyRecord, version: int) -> None:
        """Puts a record in force that the store has accepted.

        Args:
            record: The record.
            version: Its version in the store.
        """
        before = self.record
        confirmed: set[tuple[int, int, int]] = set()
        for segment in record.segments:
            old = before.find(segment.first)
            if old is None or (old.holder, old.token) != (
                segment.holder,
                segment.token,
            ):
                continue
            if (old.first, old.last, old.token) in self._confirmed:
                confirmed.add((segment.first, segment.last, segment.token))
        self.record, self.version = record, version
        self._confirmed = confirmed
        self._adopt_vacating()
        self._on_changed()

    def settled(self) -> set[tuple[int, int, Previous]]:
        """Gives the previous holders that the record need not name."""
        return {key for key, one in self._vacating.items() if one.is_done}

    def notice(self) -> KeyMapNotice:
        """Makes the notice of the holders for the gateways."""
        self._serial += 1
        holders: dict[Holder, int] = {}
        places: list[int] = []
        for segment in self.record.segments:
            places.append(holders.setdefault(segment.holder, len(holders)))
        return KeyMapNotice(
            self.epoch,
            self._serial,
            self.service,
            tuple((one.name, one.incarnation) for one in holders),
            tuple(one.last for one in self.record.segments),
            tuple(places),
            tuple(self.is_confirmed(one) for one in self.record.segments),
            tuple(round(1000 * self._wait(one)) for one in self.record.segments),
        )

    def _wait(self, segment: Segment) -> float:
        """Estimates when the holder will have accepted its grant."""
        if self.is_confirmed(segment):
            return 0.0
        waits = [GRANT_SECONDS]
        for previous in segment.previous:
            one = self._vacating[(segment.first, segment.last, previous)]
            if one.is_done:
                continue
            left = max(0.0, one.until - now())
            waits.append(left if one.is_unanswered else min(left, RELEASE_SECONDS))
        return max(waits)

    def _is_vacant(self, segment: Segment) -> bool:
        return all(
            self._vacating[(segment.first, segment.last, previous)].is_done
            for previous in segment.previous
        )

    def _adopt_vacating(self) -> None:
        """Keeps a state for each previous holder that the record names."""
        current: dict[tuple[int, int, Previous], Vacating] = {}
        for segment in self.record.segments:
            for previous in segment.previous:
                key = (segment.first, segment.last, previous)
                known = self._vacating.get(key)
                if known is None:
                    bound = self.bound(previous.holder)
                    known = Vacating(segment, previous, bound.until, bound)
                    known.is_done = self._part_is_done(segment, previous)
                known.segment = segment
                current[key] = known
        for key, one in self._vacating.items():
            if key not in current and one.task is not None:
                one.task.cancel()
        self._vacating = current
        ranges = {one.keys for one in self.record.segments}
        for keys in [keys for keys in self._handovers if keys not in ranges]:
            del self._handovers[keys]

    def _part_is_done(self, segment: Segment, previous: Previous) -> bool:
        """Whether the holder vacated a segment of which this is part."""
        return any(
            one.is_done
            and key[2] == previous
            and key[0] <= segment.first
            and segment.last <= key[1]
            for key, one in self._vacating.items()
        )
