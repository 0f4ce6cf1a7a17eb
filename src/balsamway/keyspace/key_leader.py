"""Leads every service with exclusive keys while this host holds the lease."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace
from typing import TYPE_CHECKING

import mode

from balsamway.clock import now
from balsamway.keyspace.grant_expiry import max_grant_lifetime_seconds
from balsamway.keyspace.grant_renewer import (
    GRANT_IN_OUTAGE_SECONDS,
    ORDER_TIMEOUT_SECONDS,
)
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
from balsamway.outcome import Malformed
from balsamway.store.era import era_of, first_number_in, was_restored
from balsamway.store.store import Absent, StoredObject

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from balsamway.discovery import TargetDirectory
    from balsamway.keyspace.leader_lease import LeaderLease
    from balsamway.keyspace.load_aggregator import LoadAggregator
    from balsamway.keyspace.messages import KeyMapNotice
    from balsamway.keyspace.target_control import TargetControl
    from balsamway.store.object_store import ObjectStore

CHECK_INTERVAL_SECONDS = 0.1
"""The interval at which the lease and the list of services are checked."""
RETRY_DELAY_SECONDS = 0.2
"""The delay before a record that could not be read or written is retried."""

logger = logging.getLogger(__name__)


class KeyLeader(mode.Service):
    """Runs a `ServiceLeader` for each service while this host leads."""

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
        """Create a leader that does nothing until this host is elected.

        Args:
            store: The object store.
            lease: The leader's lease.
            directory: The targets that exist.
            aggregator: The load that the entry hosts report.
            control: Sends orders to targets.
            services: Returns the names of the services with exclusive keys.
            publish: Sends the owners of a service's keys to the gateways.
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
        self._last_records: dict[str, tuple[int, KeyRecord]] = {}
        """By service, the last record in force here, and the epoch of this
        host's leadership. No other host has led since if it is still that one.
        """
        self._lost_grants_expire_at: dict[str, float] = {}
        """For each service whose record was restored, when every grant that
        earlier leaders may have sent has expired, in event loop time."""

    def notices_newer_than(
        self, seen: dict[str, tuple[int, int]]
    ) -> list[KeyMapNotice]:
        """Return the key maps that a gateway does not have yet.

        Args:
            seen: For each service, the epoch and serial of the key map that
                the gateway has.

        Returns:
            The last notice of each service whose key map is newer.
        """
        notices = (leader.last_notice for leader in self._leaders.values())
        return [
            notice
            for notice in notices
            if notice is not None
            and seen.get(notice.service, (0, 0)) < (notice.epoch, notice.serial)
        ]

    def dump(self) -> dict[str, object]:
        """Return the state of every service for the state dump."""
        return {name: leader.dump() for name, leader in self._leaders.items()}

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self._lease.elected.wait()
            epoch = self._lease.epoch
            if epoch is None or not self._lease.has_authority(epoch):
                await self.sleep(CHECK_INTERVAL_SECONDS)
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
                for service, leader in self._leaders.items():
                    self._last_records[service] = (epoch, leader.record)
                self._leaders.clear()
                self._lost_grants_expire_at.clear()

    async def _lead(self, epoch: int, tasks: asyncio.TaskGroup) -> None:
        """Lead every service until the leadership ends.

        Raises:
            _LeadershipEndedError: Always, to cancel the other tasks of the
                group.
        """
        while self._lease.has_authority(epoch):
            for service in self._services():
                if service not in self._leaders:
                    await self._adopt_service(service, epoch, tasks)
            await self.sleep(CHECK_INTERVAL_SECONDS)
            if self.should_stop:
                break
        raise _LeadershipEndedError

    async def _adopt_service(
        self, service: str, epoch: int, tasks: asyncio.TaskGroup
    ) -> None:
        """Read a service's record, rewrite it under this epoch, and lead it.

        The rewrite makes every write of an earlier leader fail that is still
        in transit.

        Args:
            service: The name of the service.
            epoch: The epoch of this leadership.
            tasks: The task group of this leadership.
        """

        def is_leader() -> bool:
            return self._lease.has_authority(epoch)

        era = self._lease.era
        if era is None:
            return
        grants_expire_at = now() + max_grant_lifetime_seconds(GRANT_IN_OUTAGE_SECONDS)
        found = await self._store.read(KEY_RECORD_KIND, service)
        match found:
            case StoredObject(body=body, version=version):
                record = decode_record(body)
                if isinstance(record, Malformed):
                    logger.error(
                        "key-record-unreadable",
                        extra={"service": service, "reason": record.reason},
                    )
                    await self.sleep(RETRY_DELAY_SECONDS)
                    return
                if record.epoch > epoch:
                    self._lease.abandon(f"the record is of epoch {record.epoch}")
                    return
                stored: int | None = version
                found_era = era_of(version)
            case Absent(era=found_era):
                # A restored store may have lost a record of an earlier era.
                record_era = found_era - 1 if was_restored(found_era) else found_era
                record, stored = KeyRecord(epoch, 1, (), record_era), None
                if record_era == found_era:
                    grants_expire_at = now()
            case _:
                await self.sleep(RETRY_DELAY_SECONDS)
                return
        if found_era != era:
            # The lease will tell whether this host still leads.
            await self.sleep(RETRY_DELAY_SECONDS)
            return
        replaced_epoch = record.epoch
        if record.era != era:
            last_epoch, last_record = self._last_records.get(service, (None, record))
            if last_epoch == epoch:
                record = replace(last_record, era=era)
            elif self._have_grants_expired(service, era, record):
                record, grants_expire_at = _after_expiry(record, era), now()
            else:
                return
        # A target may have restarted unnoticed. Its new incarnation must not
        # get the fencing tokens of the previous one.
        current_owners = {segment.keys: segment.owner for segment in record.segments}
        record = replace(record.reassign(current_owners), epoch=epoch)
        match await write_record(self._store, service, record, stored, is_leader):
            case RecordWritten(version=version):
                pass
            case RecordRefused() | RecordUnknown():
                await self.sleep(RETRY_DELAY_SECONDS)
                return
        logger.info(
            "keys-taken-over",
            extra={
                "service": service,
                "epoch": epoch,
                "segments": len(record.segments),
                "replaced": stored,
                "replaced_epoch": replaced_epoch,
                "next_token": record.next_token,
            },
        )
        leader = ServiceLeader(
            ServiceKeys(
                service,
                epoch,
                record,
                version,
                grants_expire_at,
                lambda: leader.mark_changed(),
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

    def _have_grants_expired(self, service: str, era: int, record: KeyRecord) -> bool:
        """Return whether the grants that a restored store lost have expired.

        The restored record may be older than grants that are in force, and no
        one knows which. This host began to lead after the last leader's
        authority had ended, so it waits for the longest grant from then on.

        Args:
            service: The name of the service.
            era: The era of the store.
            record: The record of the restored store.
        """
        expire_at = self._lost_grants_expire_at.get(service)
        if expire_at is None:
            lifetime = max_grant_lifetime_seconds(GRANT_IN_OUTAGE_SECONDS)
            seconds = ORDER_TIMEOUT_SECONDS + lifetime
            expire_at = self._lost_grants_expire_at[service] = now() + seconds
            logger.warning(
                "key-record-restored",
                extra={
                    "service": service,
                    "era": era,
                    "record_era": record.era,
                    "record_epoch": record.epoch,
                    "seconds": round(seconds, 3),
                },
            )
        return now() >= expire_at


def _after_expiry(record: KeyRecord, era: int) -> KeyRecord:
    """Return a restored record after all grants that it lacks have expired.

    Args:
        record: The record of the restored store.
        era: The era of the store.
    """
    return replace(
        record,
        next_token=max(record.next_token, first_number_in(era) + 1),
        segments=tuple(
            replace(segment, previous_owners=()) for segment in record.segments
        ),
        era=era,
    )


class _LeadershipEndedError(Exception):
    """Cancels the tasks of a leadership."""
