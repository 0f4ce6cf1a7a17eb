"""Decides who holds the keys of each service, while this host leads."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace
from typing import TYPE_CHECKING

import mode

from balsamway.clock import now
from balsamway.keyspace.hold_bound import lapse_seconds
from balsamway.keyspace.key_record import KeyRecord, decode_record
from balsamway.keyspace.record_writer import (
    KEY_RECORD_KIND,
    RecordRefused,
    RecordUnknown,
    RecordWritten,
    write_record,
)
from balsamway.keyspace.service_keys import ServiceKeys
from balsamway.keyspace.service_leader import ServiceLeader
from balsamway.keyspace.target_keeper import HOLD_IN_OUTAGE_SECONDS
from balsamway.outcome import Malformed
from balsamway.store.store import Absent, StoredObject

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from balsamway.discovery import TargetDirectory
    from balsamway.keyspace.leader_lease import LeaderLease
    from balsamway.keyspace.load_aggregator import LoadAggregator
    from balsamway.keyspace.messages import KeyMapNotice
    from balsamway.keyspace.target_control import TargetControl
    from balsamway.store.object_store import ObjectStore

CHECK_SECONDS = 0.1
"""How often the lease and the list of services are looked at."""
RETRY_SECONDS = 0.2

logger = logging.getLogger(__name__)


class KeyLeader(mode.Service):
    """Runs a `ServiceLeader` for each service while the lease is held."""

    def __init__(
        self,
        store: ObjectStore,
        lease: LeaderLease,
        directory: TargetDirectory,
        aggregator: LoadAggregator,
        control: TargetControl,
        services: Callable[[], Sequence[str]],
        publish: Callable[[KeyMapNotice], None],
    ) -> None:
        """Prepares a leader that does nothing until it is elected.

        Args:
            store: The store.
            lease: The lease.
            directory: The targets that exist.
            aggregator: What the entry hosts report.
            control: Sends orders to targets.
            services: Gives the names of the services with exclusive keys.
            publish: Tells the gateways who holds which keys.
        """
        super().__init__()
        self._store = store
        self._lease = lease
        self._directory = directory
        self._aggregator = aggregator
        self._control = control
        self._services = services
        self._publish = publish
        self._leaders: dict[str, ServiceLeader] = {}

    def notices_newer_than(
        self, seen: dict[str, tuple[int, int]]
    ) -> list[KeyMapNotice]:
        """Gives the key maps that a gateway has not seen.

        Args:
            seen: The epoch and serial of its map of each service.

        Returns:
            The last notice of each service of which it has an older one.
        """
        found = (leader.last_notice for leader in self._leaders.values())
        return [
            notice
            for notice in found
            if notice is not None
            and seen.get(notice.service, (0, 0)) < (notice.epoch, notice.serial)
        ]

    def dump(self) -> dict[str, object]:
        """Gives the leader's state for the state dump."""
        return {name: leader.dump() for name, leader in self._leaders.items()}

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self._lease.elected.wait()
            epoch = self._lease.epoch
            if epoch is None:
                await self.sleep(CHECK_SECONDS)
                continue
            try:
                async with asyncio.TaskGroup() as tasks:
                    tasks.create_task(self._lead(epoch, tasks))
            except* _LeadershipEndedError:
                logger.info("keys-released", extra={"epoch": epoch})
            except* Exception as group:
                logger.exception("leading-failed", exc_info=group)
                self._lease.abandon("leading failed")
            finally:
                self._leaders.clear()

    async def _lead(self, epoch: int, tasks: asyncio.TaskGroup) -> None:
        """Leads every service, and ends all of it with the leadership."""
        while self._lease.has_authority(epoch):
            for service in self._services():
                if service not in self._leaders:
                    await self._take_over(service, epoch, tasks)
            await self.sleep(CHECK_SECONDS)
            if self.should_stop:
                break
        raise _LeadershipEndedError

    async def _take_over(
        self, service: str, epoch: int, tasks: asyncio.TaskGroup
    ) -> None:
        """Reads a service's record and writes it under this epoch.

        The write makes every write of an earlier leader fail that is still
        on its way.
        """

        def may_act() -> bool:
            return self._lease.has_authority(epoch)

        granted_until = now() + lapse_seconds(HOLD_IN_OUTAGE_SECONDS)
        found = await self._store.read(KEY_RECORD_KIND, service)
        match found:
            case StoredObject(body=body, version=version):
                record = decode_record(body)
                if isinstance(record, Malformed):
                    logger.error(
                        "key-record-unreadable",
                        extra={"service": service, "reason": record.reason},
                    )
                    await self.sleep(RETRY_SECONDS)
                    return
                if record.epoch > epoch:
                    self._lease.abandon(f"the record is of epoch {record.epoch}")
                    return
                stored: int | None = version
            case Absent():
                record, stored = KeyRecord(epoch, 1, ()), None
                granted_until = now()
            case _:
                await self.sleep(RETRY_SECONDS)
                return
        # A target may have started again unnoticed, and its new run must not
        # get the tokens of the one before.
        same = {one.keys: one.holder for one in record.segments}
        record = replace(record.reassign(same), epoch=epoch)
        match await write_record(self._store, service, record, stored, may_act):
            case RecordWritten(version=version):
                pass
            case RecordRefused() | RecordUnknown():
                await self.sleep(RETRY_SECONDS)
                return
        logger.info(
            "keys-taken-over",
            extra={
                "service": service,
                "epoch": epoch,
                "segments": len(record.segments),
            },
        )
        leader = ServiceLeader(
            ServiceKeys(
                service, epoch, record, version, granted_until, lambda: leader.kick()
            ),
            self._store,
            self._lease,
            self._directory,
            self._aggregator,
            self._control,
            self._publish,
        )
        self._leaders[service] = leader
        tasks.create_task(leader.run(tasks))


class _LeadershipEndedError(Exception):
    """Ends the tasks of a leadership."""
