"""Leads one service: plans moves, records them and sends the orders.

An order is a grant or release sent by the leader.
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.keyspace.order_dispatcher import OrderDispatcher
from balsamway.keyspace.placement import Placement, split_by_speed
from balsamway.keyspace.record_writer import (
    KEY_RECORD_KIND,
    RecordRefused,
    RecordWritten,
    write_record,
)
from balsamway.keyspace.segment import Segment
from balsamway.keyspace.target_incarnation import TargetIncarnation
from balsamway.keyspace.target_speed import TargetSpeed, estimate_speeds
from balsamway.store.era import era_of
from balsamway.store.store import Absent, StoredObject

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from balsamway.discovery import TargetDirectory, TargetEntry
    from balsamway.keyspace.key_record import KeyRecord
    from balsamway.keyspace.leader_lease import LeaderLease
    from balsamway.keyspace.load_aggregator import LoadAggregator
    from balsamway.keyspace.messages import KeyMapNotice
    from balsamway.keyspace.service_keys import ServiceKeys
    from balsamway.keyspace.target_control import TargetControl
    from balsamway.store.object_store import ObjectStore

CHECK_INTERVAL_SECONDS = 0.05
"""The interval at which urgent changes are checked for."""
PLAN_INTERVAL_SECONDS = 0.4
"""The interval at which moves to balance the load are planned."""
PUBLISH_DELAY_SECONDS = 0.01
"""How long changes are collected before the gateways are notified."""
TARGETS_SETTLE_SECONDS = 1.5
"""How long the list of targets must be unchanged before keys are assigned for
the first time. Otherwise the first target to register would get all keys."""
UNRESPONSIVE_SECONDS = 0.5
"""How long orders must have failed for a target to count as unresponsive."""
LOST_BACKOFF_SECONDS = 8.0
"""How long a lost target is assigned no keys. A target is lost if it is still
unresponsive when its grants expire."""
MIN_MAX_PENDING_RELEASES = 4
"""The number of pending releases, with few targets, from which balancing
pauses."""
MAX_PENDING_RELEASES_PER_TARGET = 0.25
"""The same for many targets, per target. Releases at different targets don't
wait for each other."""

logger = logging.getLogger(__name__)


def max_pending_releases(target_count: int) -> int:
    """Return the number of pending releases from which balancing pauses.

    Args:
        target_count: The number of targets that may own keys.
    """
    return max(
        MIN_MAX_PENDING_RELEASES, int(MAX_PENDING_RELEASES_PER_TARGET * target_count)
    )


class ServiceLeader:
    """Leads one service until the leadership ends."""

    def __init__(
        self,
        keys: ServiceKeys,
        store: ObjectStore,
        lease: LeaderLease,
        directory: TargetDirectory,
        aggregator: LoadAggregator,
        control: TargetControl,
        publish: Callable[[KeyMapNotice], None],
    ) -> None:
        """Create the leader of a service whose record is already adopted.

        Args:
            keys: The keys of the service.
            store: The object store.
            lease: The leader's lease.
            directory: The targets that exist.
            aggregator: The load that the entry hosts report.
            control: Sends orders to targets.
            publish: Sends the owners of the keys to the gateways.
        """
        self._keys = keys
        self._store = store
        self._lease = lease
        self._directory = directory
        self._aggregator = aggregator
        self._publish = publish
        self._dispatcher = OrderDispatcher(
            keys,
            directory,
            control,
            self._is_leader,
            lambda: lease.is_renewal_failing,
            self.mark_changed,
        )
        self._lost_until: dict[TargetIncarnation, float] = {}
        self._next_plan_at = now()
        self._has_changed = True
        self.last_notice: KeyMapNotice | None = None
        """The last notice sent to the gateways."""

    @property
    def record(self) -> KeyRecord:
        """The record in force."""
        return self._keys.record

    async def run(self, tasks: asyncio.TaskGroup) -> None:
        """Lead the service until cancelled.

        Args:
            tasks: The task group of this leadership.
        """
        try:
            while True:
                await self._check_reachability()
                await self._step()
                self._dispatcher.wake_on_outage()
                if self._has_changed:
                    self._has_changed = False
                    await asyncio.sleep(PUBLISH_DELAY_SECONDS)
                    self._dispatcher.apply_record(tasks)
                    self.publish()
                await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        finally:
            self._dispatcher.close()

    def mark_changed(self) -> None:
        """Note that an owner changed or accepted its grant."""
        self._has_changed = True

    def publish(self) -> None:
        """Send the owners of the keys to the gateways."""
        if self._is_leader():
            self.last_notice = self._keys.notice()
            self._publish(self.last_notice)

    def dump(self) -> dict[str, object]:
        """Return the state for the state dump."""
        record = self._keys.record
        return {
            "epoch": record.epoch,
            "next_token": record.next_token,
            "segments": len(record.segments),
            "vacating": len(list(self._keys.pending_releases())),
            "targets": {
                owner.name: round(seconds, 2)
                for owner, seconds in self._dispatcher.failing_seconds.items()
            },
        }

    async def _check_reachability(self) -> None:
        """Stand down if most targets do not respond to this host.

        A host in a partitioned zone still reaches the store at times. It
        would take the keys from targets that all other hosts reach.
        """
        failing = [
            seconds > UNRESPONSIVE_SECONDS
            for seconds in self._dispatcher.failing_seconds.values()
        ]
        if len(failing) > 2 and sum(failing) * 2 > len(failing):
            await self._lease.stand_down("most targets do not answer")

    def _is_leader(self) -> bool:
        return self._lease.has_authority(self._keys.epoch)

    async def _step(self) -> None:
        """Plan and record moves if they are urgent or due."""
        era = self._lease.era
        if era is not None and era != self._keys.record.era:
            await self._rewrite_record(era)
            return
        entries = self._directory.available_targets(self._keys.service)
        if not self._keys.record.segments:
            await self._assign_initially(entries)
            return
        has_urgent_moves = self._has_urgent_moves()
        if not has_urgent_moves and now() < self._next_plan_at:
            return
        self._next_plan_at = now() + PLAN_INTERVAL_SECONDS
        moves = self._add_renewals(self._plan_moves())
        if moves:
            current = self._keys.record.drop_released(self._keys.released_owners())
            await self._store_record(current.reassign(moves), moves)

    def _add_renewals(
        self, moves: dict[tuple[int, int], TargetIncarnation]
    ) -> dict[tuple[int, int], TargetIncarnation]:
        """Add the whole segments that need new tokens, in place of moves.

        If a part of such a segment kept its token, that token would be
        renewed at a target that may have restarted. Segments whose owner is
        not available move in any case.

        Args:
            moves: The planned moves.

        Returns:
            The moves that touch no such segment, and a move of each such
            segment to its present owner.
        """
        available = {target.owner for target in self._available_speeds()}
        renewals = {
            segment.keys: segment.owner
            for segment in self._keys.record.segments
            if segment.owner in self._keys.owners_needing_tokens
            and segment.owner in available
        }
        kept = {
            (first, last): owner
            for (first, last), owner in moves.items()
            if all(last < begin or end < first for begin, end in renewals)
        }
        return kept | renewals

    async def _assign_initially(self, entries: tuple[TargetEntry, ...]) -> None:
        """Assign all keys for the first time."""
        unchanged_seconds = now() - self._directory.changed_at
        if not entries or unchanged_seconds < TARGETS_SETTLE_SECONDS:
            return
        targets = self._available_speeds()
        token = self._keys.record.next_token
        segments = tuple(
            Segment(first, last, owner, token + index)
            for index, (first, last, owner) in enumerate(split_by_speed(targets))
        )
        record = self._keys.record
        await self._store_record(
            replace(record, next_token=token + len(segments), segments=segments),
            {segment.keys: segment.owner for segment in segments},
        )

    def _has_urgent_moves(self) -> bool:
        """Return whether a segment needs a new token or another owner."""
        if self._keys.owners_needing_tokens:
            return True
        available = {target.owner for target in self._available_speeds()}
        return bool(available) and any(
            segment.owner not in available for segment in self._keys.record.segments
        )

    def _plan_moves(self) -> dict[tuple[int, int], TargetIncarnation]:
        """Return the new owner of each range of keys that should move."""
        pending_count = sum(1 for _ in self._keys.pending_releases())
        speeds = self._available_speeds()
        placement = Placement(
            self._keys.record.drop_released(self._keys.released_owners()).segments,
            self._aggregator.key_rates(self._keys.service),
            speeds,
            self._aggregator.rate_window_seconds(self._keys.service),
        )
        return placement.plan(
            may_balance=pending_count < max_pending_releases(len(speeds))
        )

    def _available_speeds(self) -> list[TargetSpeed]:
        """Return the targets that may own keys, with their speeds."""
        entries = self._directory.available_targets(self._keys.service)
        present = [
            entry
            for entry in entries
            if not self._is_lost(TargetIncarnation(*entry.key))
        ]
        return estimate_speeds(
            present, self._aggregator.targets(), self._aggregator.limits
        )

    def _is_lost(self, owner: TargetIncarnation) -> bool:
        """Return whether a target is unresponsive and its grants expired."""
        if self._lost_until.get(owner, 0.0) > now():
            return True
        renewer = self._dispatcher.renewer(owner)
        if renewer is None:
            return False
        has_expired = self._keys.grant_expiry(owner).expires_at < now()
        if renewer.is_replaced or (renewer.failing_seconds > 0 and has_expired):
            self._lost_until[owner] = now() + LOST_BACKOFF_SECONDS
            logger.warning(
                "target-lost",
                extra={
                    "target": owner.name,
                    "failing_seconds": round(renewer.failing_seconds, 3),
                    "ended": renewer.is_replaced,
                },
            )
            return True
        return False

    async def _rewrite_record(self, era: int) -> None:
        """Write the record in force to a store that was restored.

        This host has led since before the restore, so its record is the last
        one that grants followed from. The restored one may be older.

        Args:
            era: The era of the store in which this host leads.
        """
        service = self._keys.service
        found = await self._store.read(KEY_RECORD_KIND, service)
        match found:
            case StoredObject(version=version) if era_of(version) == era:
                replaced: int | None = version
            case Absent(era=found_era) if found_era == era:
                replaced = None
            case _:
                await asyncio.sleep(PLAN_INTERVAL_SECONDS)
                return
        record = replace(self._keys.record, era=era)
        result = await write_record(
            self._store, service, record, replaced, self._is_leader
        )
        match result:
            case RecordWritten(version=version):
                logger.warning(
                    "key-record-rewritten",
                    extra={
                        "service": service,
                        "era": era,
                        "replaced": replaced,
                        "version": version,
                        "next_token": record.next_token,
                    },
                )
                self._keys.replace(record, version)
            case _:
                await asyncio.sleep(PLAN_INTERVAL_SECONDS)

    async def _store_record(
        self, record: KeyRecord, moves: Mapping[tuple[int, int], TargetIncarnation]
    ) -> None:
        """Write a record before the grants that follow from it are sent."""
        renewals = set(self._keys.owners_needing_tokens)
        result = await write_record(
            self._store,
            self._keys.service,
            record,
            self._keys.version,
            self._is_leader,
        )
        match result:
            case RecordWritten(version=version):
                logger.info(
                    "keys-moved",
                    extra={
                        "service": self._keys.service,
                        "version": version,
                        "next_token": record.next_token,
                        "segments": len(record.segments),
                        "moves": [
                            f"{first}-{last}>{owner.name}"
                            for (first, last), owner in moves.items()
                        ][:24],
                    },
                )
                self._keys.owners_needing_tokens -= renewals
                self._keys.replace(record, version)
            case RecordRefused(era=era) if era is not None and era > record.era:
                logger.warning(
                    "key-record-lost-by-restore",
                    extra={"service": self._keys.service, "era": era},
                )
                await asyncio.sleep(PLAN_INTERVAL_SECONDS)
            case RecordRefused(current=None):
                logger.warning(
                    "key-record-not-written", extra={"service": self._keys.service}
                )
                await asyncio.sleep(PLAN_INTERVAL_SECONDS)
            case _:
                self._lease.abandon("another host has changed the record of the keys")
