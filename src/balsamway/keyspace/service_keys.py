"""The leader's state of one service's keys."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.keyspace.grant_expiry import GrantExpiry
from balsamway.keyspace.messages import KeyMapNotice

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from balsamway.keyspace.key_record import KeyRecord
    from balsamway.keyspace.segment import PreviousOwner, Segment
    from balsamway.keyspace.target_incarnation import TargetIncarnation

EXPECTED_GRANT_DELAY_SECONDS = 0.05
"""About how long it takes until a target accepts a grant."""
EXPECTED_RELEASE_DELAY_SECONDS = 0.3
"""About how long the running requests take that a release waits for."""

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class PendingRelease:
    """The revocation of a segment's keys from one previous owner."""

    segment: Segment
    previous: PreviousOwner
    grants_expire_at: float
    """When the owner's grants expire if each order in flight was received, as
    known when the revocation began."""
    grant_expiry: GrantExpiry
    """The grants of the owner, including the results of those orders."""
    is_done: bool = False
    is_unresponsive: bool = False
    """Whether the last release got no response, so that the keys are only
    released when the grants expire."""
    task: asyncio.Task[None] | None = None

    @property
    def expires_at(self) -> float:
        """When the grants expire at the latest, in event loop time.

        Orders for other keys may extend `grant_expiry`, but not the grants
        for this segment.
        """
        return min(self.grants_expire_at, self.grant_expiry.expires_at)


class ServiceKeys:
    """Holds the record in force and the leader's state beyond it.

    That state is the grants that owners have accepted, the releases that are
    pending, and the handovers of previous owners.
    """

    def __init__(
        self,
        service: str,
        epoch: int,
        record: KeyRecord,
        version: int | None,
        grants_expire_at: float,
        on_changed: Callable[[], None],
    ) -> None:
        """Adopt a record from the store.

        Args:
            service: The name of the service.
            epoch: The epoch of this leadership.
            record: The record as stored.
            version: Its version in the store, or None if it is not stored yet.
            grants_expire_at: When all grants of earlier leaders have expired,
                in event loop time.
            on_changed: Called when an owner changed or accepted its grant.
        """
        self.service = service
        self.epoch = epoch
        self.record = record
        self.version = version
        self.owners_needing_tokens: set[TargetIncarnation] = set()
        """Owners that may have restarted and thus need new fencing tokens."""
        self._grants_expire_at = grants_expire_at
        self._grant_expiries: dict[TargetIncarnation, GrantExpiry] = {}
        self._accepted: set[tuple[int, int, int]] = set()
        self._pending_releases: dict[
            tuple[int, int, PreviousOwner], PendingRelease
        ] = {}
        self._handovers: dict[tuple[int, int], str] = {}
        self._segments_by_owner: dict[TargetIncarnation, list[Segment]] = {}
        self._on_changed = on_changed
        self._serial = 0
        self._update_pending_releases()

    def grant_expiry(self, owner: TargetIncarnation) -> GrantExpiry:
        """Return the expiry of an owner's grants.

        Args:
            owner: The owner.
        """
        found = self._grant_expiries.get(owner)
        if found is None:
            found = self._grant_expiries[owner] = GrantExpiry(self._grants_expire_at)
        return found

    def pending_releases(self) -> Iterable[PendingRelease]:
        """Return the previous owners that may still own keys."""
        return [
            pending
            for pending in self._pending_releases.values()
            if not pending.is_done
        ]

    def segments_of(self, owner: TargetIncarnation) -> list[Segment]:
        """Return the segments that can be granted to an owner now.

        Args:
            owner: The owner.

        Returns:
            Its segments whose previous owners have all released their keys.
        """
        return [
            segment
            for segment in self._segments_by_owner.get(owner, ())
            if self._is_released(segment)
        ]

    def is_in_force(self, segment: Segment) -> bool:
        """Return whether the record in force has a segment unchanged.

        Args:
            segment: A segment of this or an earlier record.
        """
        return segment in self._segments_by_owner.get(segment.owner, ())

    def is_accepted(self, segment: Segment) -> bool:
        """Return whether the owner of a segment has accepted its grant.

        Args:
            segment: A segment of the record in force.
        """
        return (segment.first, segment.last, segment.token) in self._accepted

    def handover(self, segment: Segment) -> str | None:
        """Return the handover of the previous owner, or None without one.

        Args:
            segment: A segment of the record in force.
        """
        return self._handovers.get(segment.keys)

    def on_accepted(self, segment: Segment) -> None:
        """Record that an owner has accepted its grant.

        Args:
            segment: The granted segment.
        """
        entry = (segment.first, segment.last, segment.token)
        if entry in self._accepted or not self.is_in_force(segment):
            return
        self._accepted.add(entry)
        self._handovers.pop(segment.keys, None)
        self._on_changed()

    def on_released(
        self, pending: PendingRelease, how: str, handover: str | None
    ) -> None:
        """Record that a previous owner no longer owns a segment's keys.

        Args:
            pending: The segment and its previous owner.
            how: Why that is certain, for the log.
            handover: The handover for the next owner, if there is one.
        """
        pending.is_done = True
        if handover is not None:
            self._handovers[pending.segment.keys] = handover
        logger.info(
            "keys-vacated",
            extra={
                "service": self.service,
                "first": pending.segment.first,
                "last": pending.segment.last,
                "target": pending.previous.owner.name,
                "token": pending.previous.release_token,
                "how": how,
            },
        )

    def replace(self, record: KeyRecord, version: int) -> None:
        """Put a record in force that the store has accepted.

        Args:
            record: The record.
            version: Its version in the store.
        """
        before = self.record
        accepted: set[tuple[int, int, int]] = set()
        for segment in record.segments:
            old = before.find(segment.first)
            if old is None or (old.owner, old.token) != (
                segment.owner,
                segment.token,
            ):
                continue
            if (old.first, old.last, old.token) in self._accepted:
                accepted.add((segment.first, segment.last, segment.token))
        self.record, self.version = record, version
        self._accepted = accepted
        self._update_pending_releases()
        self._on_changed()

    def released_owners(self) -> set[tuple[int, int, PreviousOwner]]:
        """Return the previous owners that the record can stop naming."""
        return {
            key for key, pending in self._pending_releases.items() if pending.is_done
        }

    def notice(self) -> KeyMapNotice:
        """Return a new notice of the owners for the gateways."""
        self._serial += 1
        owners: dict[TargetIncarnation, int] = {}
        owner_indices: list[int] = []
        for segment in self.record.segments:
            owner_indices.append(owners.setdefault(segment.owner, len(owners)))
        return KeyMapNotice(
            self.epoch,
            self._serial,
            self.service,
            tuple((owner.name, owner.incarnation) for owner in owners),
            tuple(segment.last for segment in self.record.segments),
            tuple(owner_indices),
            tuple(self.is_accepted(segment) for segment in self.record.segments),
            tuple(
                round(1000 * self._expected_wait_seconds(segment))
                for segment in self.record.segments
            ),
        )

    def _expected_wait_seconds(self, segment: Segment) -> float:
        """Estimate in how many seconds an owner will accept its grant."""
        if self.is_accepted(segment):
            return 0.0
        waits = [EXPECTED_GRANT_DELAY_SECONDS]
        for previous in segment.previous_owners:
            pending = self._pending_releases[(segment.first, segment.last, previous)]
            if pending.is_done:
                continue
            remaining_seconds = max(0.0, pending.expires_at - now())
            waits.append(
                remaining_seconds
                if pending.is_unresponsive
                else min(remaining_seconds, EXPECTED_RELEASE_DELAY_SECONDS)
            )
        return max(waits)

    def _is_released(self, segment: Segment) -> bool:
        """Return whether no previous owner may own a segment's keys."""
        return all(
            self._pending_releases[(segment.first, segment.last, previous)].is_done
            for previous in segment.previous_owners
        )

    def _update_pending_releases(self) -> None:
        """Keep one pending release per previous owner in the record.

        The releases of previous owners that the record no longer names are
        cancelled.
        """
        self._segments_by_owner = {}
        for segment in self.record.segments:
            self._segments_by_owner.setdefault(segment.owner, []).append(segment)
        current: dict[tuple[int, int, PreviousOwner], PendingRelease] = {}
        for segment in self.record.segments:
            for previous in segment.previous_owners:
                key = (segment.first, segment.last, previous)
                known = self._pending_releases.get(key)
                if known is None:
                    grant_expiry = self.grant_expiry(previous.owner)
                    known = PendingRelease(
                        segment, previous, grant_expiry.expires_at, grant_expiry
                    )
                    known.is_done = self._is_covered_by_release(segment, previous)
                known.segment = segment
                current[key] = known
        for key, pending in self._pending_releases.items():
            if key not in current and pending.task is not None:
                pending.task.cancel()
        self._pending_releases = current
        ranges = {segment.keys for segment in self.record.segments}
        for keys in [keys for keys in self._handovers if keys not in ranges]:
            del self._handovers[keys]

    def _is_covered_by_release(self, segment: Segment, previous: PreviousOwner) -> bool:
        """Return whether the owner released a segment containing this one."""
        return any(
            pending.is_done
            and key[2] == previous
            and key[0] <= segment.first
            and segment.last <= key[1]
            for key, pending in self._pending_releases.items()
        )
