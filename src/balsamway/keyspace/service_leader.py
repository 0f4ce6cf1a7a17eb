"""Leads one service: plans moves, records them, has them carried out."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.keyspace.holder import Holder
from balsamway.keyspace.holder_orders import HolderOrders
from balsamway.keyspace.placed_target import PlacedTarget, placed_targets
from balsamway.keyspace.placement import Placement, even_split
from balsamway.keyspace.record_writer import RecordRefused, RecordWritten, write_record
from balsamway.keyspace.segment import Segment

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

STEP_SECONDS = 0.05
"""How often what must not wait is looked at."""
PLAN_SECONDS = 0.4
"""How often moves for balance are planned."""
PUBLISH_SECONDS = 0.01
"""How long changes gather before the gateways are told."""
SETTLE_SECONDS = 1.5
"""How long the list of targets must have stood still before the first keys
are given out; else the first target to register is given all."""
UNREACHED_SECONDS = 0.5
"""How long orders must have failed for a target to count as not reached."""
LOST_SECONDS = 8.0
"""How long a target that did not answer until its grants lapsed gets none."""
RELIEF_MOVES = 4
"""So many previous holders may be unsettled before balancing pauses."""

logger = logging.getLogger(__name__)


class ServiceLeader:
    """Runs until its leadership ends."""

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
        """Prepares to lead a service whose record was taken over.

        Args:
            keys: The service's keys.
            store: The store.
            lease: The lease.
            directory: The targets that exist.
            aggregator: What the entry hosts report.
            control: Sends orders to targets.
            publish: Tells the gateways who holds which keys.
        """
        self._keys = keys
        self._store = store
        self._lease = lease
        self._directory = directory
        self._aggregator = aggregator
        self._publish = publish
        self._orders = HolderOrders(
            keys,
            directory,
            control,
            self._may_act,
            lambda: lease.renewal_failing,
            self.kick,
        )
        self._lost_until: dict[Holder, float] = {}
        self._plan_at = now()
        self._dirty = True
        self.last_notice: KeyMapNotice | None = None
        """What the gateways were told last."""

    async def run(self, tasks: asyncio.TaskGroup) -> None:
        """Leads until cancelled.

        Args:
            tasks: The tasks of this leadership.
        """
        try:
            while True:
                await self._check_reach()
                await self._step()
                self._orders.kick_in_outage()
                if self._dirty:
                    self._dirty = False
                    await asyncio.sleep(PUBLISH_SECONDS)
                    self._orders.carry_out(tasks)
                    self.publish()
                await asyncio.sleep(STEP_SECONDS)
        finally:
            self._orders.close()

    def kick(self) -> None:
        """Notes that holders or their readiness changed."""
        self._dirty = True

    def publish(self) -> None:
        """Tells the gateways who holds which keys."""
        if self._may_act():
            self.last_notice = self._keys.notice()
            self._publish(self.last_notice)

    def dump(self) -> dict[str, object]:
        """Gives the state for the state dump."""
        record = self._keys.record
        return {
            "epoch": record.epoch,
            "next_token": record.next_token,
            "segments": len(record.segments),
            "vacating": len(list(self._keys.vacating())),
            "targets": {
                holder.name: round(seconds, 2)
                for holder, seconds in self._orders.failing_seconds.items()
            },
        }

    async def _check_reach(self) -> None:
        """Stands down where most targets do not answer this host.

        A host whose zone is cut off still reaches the store at times, and
        would take the keys from the targets that all others reach.
        """
        failing = [
            seconds > UNREACHED_SECONDS
            for seconds in self._orders.failing_seconds.values()
        ]
        if len(failing) > 2 and sum(failing) * 2 > len(failing):
            await self._lease.stand_down("most targets do not answer")

    def _may_act(self) -> bool:
        return self._lease.has_authority(self._keys.epoch)

    async def _step(self) -> None:
        entries = self._directory.available_targets(self._keys.service)
        if not self._keys.record.segments:
            await self._give_out(entries)
            return
        urgent = self._urgent()
        if not urgent and now() < self._plan_at:
            return
        self._plan_at = now() + PLAN_SECONDS
        moves = self._with_renewals(self._plan())
        if moves:
            settled = self._keys.record.settle(self._keys.settled())
            await self._record(settled.reassign(moves), moves)

    def _with_renewals(
        self, moves: dict[tuple[int, int], Holder]
    ) -> dict[tuple[int, int], Holder]:
        """Adds the segments that need new tokens, whole, in place of moves.

        A part that kept its token would be renewed at a target that may have
        started again. Segments whose holder must not keep them move anyway.
        """
        placed = {one.holder for one in self._placed()}
        renewed = {
            one.keys: one.holder
            for one in self._keys.record.segments
            if one.holder in self._keys.renew_tokens_of and one.holder in placed
        }
        kept = {
            (first, last): holder
            for (first, last), holder in moves.items()
            if all(last < begin or end < first for begin, end in renewed)
        }
        return kept | renewed

    async def _give_out(self, entries: tuple[TargetEntry, ...]) -> None:
        """Gives out all keys for the first time."""
        still = now() - self._directory.changed_at
        if not entries or still < SETTLE_SECONDS:
            return
        targets = self._placed()
        token = self._keys.record.next_token
        segments = tuple(
            Segment(first, last, holder, token + place)
            for place, (first, last, holder) in enumerate(even_split(targets))
        )
        record = self._keys.record
        await self._record(
            type(record)(record.epoch, token + len(segments), segments),
            {one.keys: one.holder for one in segments},
        )

    def _urgent(self) -> bool:
        """Whether keys have a holder that must not keep them."""
        if self._keys.renew_tokens_of:
            return True
        placed = {one.holder for one in self._placed()}
        return bool(placed) and any(
            one.holder not in placed for one in self._keys.record.segments
        )

    def _plan(self) -> dict[tuple[int, int], Holder]:
        unsettled = sum(1 for _ in self._keys.vacating())
        placement = Placement(
            self._keys.record.settle(self._keys.settled()).segments,
            self._aggregator.key_rates(self._keys.service),
            self._placed(),
            self._aggregator.rate_seconds(self._keys.service),
        )
        return placement.plan(balances=unsettled < RELIEF_MOVES)

    def _placed(self) -> list[PlacedTarget]:
        """Gives the targets that may hold keys, with their speeds."""
        entries = self._directory.available_targets(self._keys.service)
        found = [one for one in entries if not self._is_lost(Holder(*one.key))]
        return placed_targets(found, self._aggregator.targets())

    def _is_lost(self, holder: Holder) -> bool:
        """Whether a target no longer holds anything and does not answer."""
        if self._lost_until.get(holder, 0.0) > now():
            return True
        keeper = self._orders.keeper(holder)
        if keeper is None:
            return False
        has_lapsed = self._keys.bound(holder).until < now()
        if keeper.has_ended or (keeper.failing_seconds > 0 and has_lapsed):
            self._lost_until[holder] = now() + LOST_SECONDS
            logger.warning(
                "target-lost",
                extra={
                    "target": holder.name,
                    "failing_seconds": round(keeper.failing_seconds, 3),
                    "ended": keeper.has_ended,
                },
            )
            return True
        return False

    async def _record(
        self, record: KeyRecord, moves: Mapping[tuple[int, int], Holder]
    ) -> None:
        """Writes a record ahead of the grants that follow from it."""
        renewed = set(self._keys.renew_tokens_of)
        result = await write_record(
            self._store,
            self._keys.service,
            record,
            self._keys.version,
            self._may_act,
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
                            f"{first}-{last}>{holder.name}"
                            for (first, last), holder in moves.items()
                        ][:24],
                    },
                )
                self._keys.renew_tokens_of -= renewed
                self._keys.replace(record, version)
            case RecordRefused(current=None):
                logger.warning(
                    "key-record-not-written", extra={"service": self._keys.service}
                )
                await asyncio.sleep(PLAN_SECONDS)
            case _:
                self._lease.abandon("the record of the keys was changed elsewhere")
