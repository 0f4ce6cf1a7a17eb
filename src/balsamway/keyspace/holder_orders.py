"""Has grants and releases sent to the holders that the record names."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from balsamway.keyspace.control_line import ControlLine
from balsamway.keyspace.target_keeper import TargetKeeper
from balsamway.keyspace.vacate import vacate

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from balsamway.discovery import TargetDirectory
    from balsamway.keyspace.holder import Holder
    from balsamway.keyspace.service_keys import ServiceKeys
    from balsamway.keyspace.target_control import TargetControl


class HolderOrders:
    """Runs a keeper for each holder, and a release for each previous one."""

    def __init__(
        self,
        keys: ServiceKeys,
        directory: TargetDirectory,
        control: TargetControl,
        may_act: Callable[[], bool],
        in_outage: Callable[[], bool],
        on_vacated: Callable[[], None],
    ) -> None:
        """Prepares to send nothing yet.

        Args:
            keys: The service's keys.
            directory: The targets that exist.
            control: Sends the orders.
            may_act: Whether this host leads at this moment.
            in_outage: Whether the store seems to be away.
            on_vacated: Called when keys are free, or later than expected.
        """
        self._keys = keys
        self._directory = directory
        self._control = control
        self._may_act = may_act
        self._in_outage = in_outage
        self._on_vacated = on_vacated
        self._was_outage = False
        self._keepers: dict[Holder, tuple[TargetKeeper, asyncio.Task[None]]] = {}
        self._lines: dict[Holder, ControlLine] = {}

    @property
    def failing_seconds(self) -> dict[Holder, float]:
        """How long the orders to each holder have failed."""
        return {
            holder: keeper.failing_seconds
            for holder, (keeper, _) in self._keepers.items()
        }

    def keeper(self, holder: Holder) -> TargetKeeper | None:
        """Gives the keeper of a holder, if it has any.

        Args:
            holder: The holder.
        """
        found = self._keepers.get(holder)
        return None if found is None else found[0]

    def kick_in_outage(self) -> None:
        """Has grants renewed for longer as soon as the store seems away."""
        is_outage = self._in_outage()
        if is_outage and not self._was_outage:
            self._kick()
        self._was_outage = is_outage

    def carry_out(self, tasks: asyncio.TaskGroup) -> None:
        """Starts what the record asks for, and has new grants sent.

        Args:
            tasks: The tasks of this leadership.
        """
        self._start_releases(tasks)
        holders = {one.holder for one in self._keys.record.segments}
        for holder in holders:
            line = self._line(holder)
            if holder not in self._keepers and line is not None:
                self._start_keeper(holder, line, tasks)
        for holder in [one for one in self._keepers if one not in holders]:
            self._keepers.pop(holder)[1].cancel()
        self._kick()

    def close(self) -> None:
        """Closes all connections."""
        for line in self._lines.values():
            line.close()

    def _kick(self) -> None:
        for keeper, _ in self._keepers.values():
            keeper.kick()

    def _start_releases(self, tasks: asyncio.TaskGroup) -> None:
        for one in self._keys.vacating():
            if one.task is not None and not one.task.done():
                continue
            holder = one.previous.holder
            release = vacate(
                self._keys,
                one,
                self._line(holder),
                self._control,
                self._may_act,
                functools.partial(self._has_started_again, holder),
                self._on_vacated,
            )
            one.task = tasks.create_task(release)

    def _start_keeper(
        self, holder: Holder, line: ControlLine, tasks: asyncio.TaskGroup
    ) -> None:
        keeper = TargetKeeper(
            self._keys, holder, line, self._control, self._may_act, self._in_outage
        )
        self._keepers[holder] = (keeper, tasks.create_task(keeper.run()))

    def _line(self, holder: Holder) -> ControlLine | None:
        entry = self._directory.find(holder.name)
        line = self._lines.get(holder)
        if entry is None or entry.incarnation != holder.incarnation:
            return line
        if line is None or line.address != entry.address:
            line = self._lines[holder] = ControlLine(entry.address)
        return line

    def _has_started_again(self, holder: Holder) -> bool:
        entry = self._directory.find(holder.name)
        return entry is not None and entry.incarnation != holder.incarnation
