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
    from tests.matrix.world import World

LOOK_SECONDS = 0.05


class Observer:
    """Writes down what hosts were told, and builds the whole journal."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._assignments: dict[tuple[object, ...], AssignmentTold] = {}
        self._recorded: list[AssignmentTold] = []
        self._records_seen = 0
        self._versions: list[VersionSeen] = []
        self._stops: list[StopAsked] = []
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._task = asyncio.create_task(self._look())

    def stop_asked(self, target: str) -> None:
        self._stops.append(StopAsked(target, self._world.now))

    def journal(self) -> Journal:
        return Journal(
            grants=tuple(self._grants()),
            runs=tuple(self._runs()),
            told=tuple(self._world.callers.told),
            assignments_told=tuple(self._assignments.values()),
            assignments_recorded=tuple(self._recorded),
            assignments_kept=tuple(self._kept()),
            versions=tuple(self._versions),
            stops=tuple(self._stops),
        )

    async def _look(self) -> None:
        while True:
            self._note_records()
            for entry in self._world.entry.values():
                if not entry.process.paused:
                    self._look_at(entry)
            await asyncio.sleep(LOOK_SECONDS)

    def _look_at(self, entry: EntryHost) -> None:
        for workspace, version in entry.configuration.versions().items():
            seen = VersionSeen(
                entry.name, entry.incarnation, workspace, version, self._world.now
            )
            self._versions.append(seen)
        for led in entry.leadership.led:
            leader = entry.leadership.leader(led.shard)
            if leader is not None:
                self._note_view(leader.context.views.view)

    def _note_view(self, view: ShardView) -> None:
        for one in view.slices:
            key = (view.shard, one.range, one.owner, one.epoch)
            if one.owner and not one.provisional and key not in self._assignments:
                self._assignments[key] = AssignmentTold(
                    str(view.shard), one.range, one.owner, one.epoch, self._world.now
                )

    def _note_records(self) -> None:
        history = self._world.store.history
        for stored in history[self._records_seen :]:
            if stored.name.startswith("shards/"):
                self._recorded += _assignments(stored, self._world.now)
        self._records_seen = len(history)

    def _grants(self) -> list[GrantHeld]:
        return [
            GrantHeld(
                one.target, str(one.shard), one.range, one.epoch, one.start, one.end
            )
            for one in self._world.targets.intervals()
        ]

    def _runs(self) -> list[Run]:
        targets = self._world.targets.targets.values()
        return [run for target in targets for run in target.runs]

    def _kept(self) -> list[AssignmentTold]:
        return [
            one
            for stored in self._world.store.objects.values()
            if stored.name.startswith("shards/")
            for one in _assignments(stored, self._world.now)
        ]


def _assignments(stored: StoredObject, time: float) -> list[AssignmentTold]:
    record = decode_record(stored.body)
    return [
        AssignmentTold(str(record.shard), one.range, one.owner, one.epoch, time)
        for one in record.slices
    ]
