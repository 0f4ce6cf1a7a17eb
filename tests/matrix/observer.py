from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.slices.record_codec import decode_record
from balsamway.standins.journal import (
    AssignmentTold,
    GrantHeld,
    Journal,
    Run,
    StopAsked,
    VersionSeen,
)

if TYPE_CHECKING:
    from balsamway.slices import ShardView
    from balsamway.store import StoredObject
    from tests.matrix.entry_host import EntryHost
    from tests.matrix.matrix_deployment import MatrixDeployment

OBSERVATION_INTERVAL_SECONDS = 0.05


class Observer:
    """Record what hosts report, and build the journal of the whole run."""

    def __init__(self, deployment: MatrixDeployment) -> None:
        self._deployment = deployment
        self._assignments: dict[tuple[object, ...], AssignmentTold] = {}
        self._recorded: list[AssignmentTold] = []
        self._records_seen = 0
        self._versions: list[VersionSeen] = []
        self._stops: list[StopAsked] = []
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._task = asyncio.create_task(self._observe())

    def record_stop_request(self, target: str) -> None:
        self._stops.append(StopAsked(target, self._deployment.now))

    def journal(self) -> Journal:
        return Journal(
            grants=tuple(self._grants()),
            runs=tuple(self._runs()),
            told=tuple(self._deployment.callers.told),
            assignments_told=tuple(self._assignments.values()),
            assignments_recorded=tuple(self._recorded),
            assignments_kept=tuple(self._stored_assignments()),
            versions=tuple(self._versions),
            stops=tuple(self._stops),
        )

    async def _observe(self) -> None:
        while True:
            self._record_assignments()
            for entry in self._deployment.entry_hosts.values():
                if not entry.process.paused:
                    self._observe_host(entry)
            await asyncio.sleep(OBSERVATION_INTERVAL_SECONDS)

    def _observe_host(self, entry: EntryHost) -> None:
        for workspace, version in entry.configuration.versions().items():
            seen = VersionSeen(
                entry.name, entry.incarnation, workspace, version, self._deployment.now
            )
            self._versions.append(seen)
        for led in entry.leadership.led:
            leader = entry.leadership.leader(led.shard)
            if leader is not None:
                self._record_view(leader.context.views.view)

    def _record_view(self, view: ShardView) -> None:
        for entry in view.slices:
            key = (view.shard, entry.range, entry.owner, entry.epoch)
            if entry.owner and not entry.provisional and key not in self._assignments:
                self._assignments[key] = AssignmentTold(
                    str(view.shard),
                    entry.range,
                    entry.owner,
                    entry.epoch,
                    self._deployment.now,
                )

    def _record_assignments(self) -> None:
        history = self._deployment.store.history
        for stored in history[self._records_seen :]:
            if stored.name.startswith("shards/"):
                self._recorded += _assignments(stored, self._deployment.now)
        self._records_seen = len(history)

    def _grants(self) -> list[GrantHeld]:
        return [
            GrantHeld(
                entry.target,
                str(entry.shard),
                entry.range,
                entry.epoch,
                entry.start,
                entry.end,
            )
            for entry in self._deployment.targets.intervals()
        ]

    def _runs(self) -> list[Run]:
        targets = self._deployment.targets.targets.values()
        return [run for target in targets for run in target.runs]

    def _stored_assignments(self) -> list[AssignmentTold]:
        return [
            assignment
            for stored in self._deployment.store.objects.values()
            if stored.name.startswith("shards/")
            for assignment in _assignments(stored, self._deployment.now)
        ]


def _assignments(stored: StoredObject, time: float) -> list[AssignmentTold]:
    record = decode_record(stored.body)
    return [
        AssignmentTold(str(record.shard), entry.range, entry.owner, entry.epoch, time)
        for entry in record.slices
    ]
