"""Accepts a configuration: a conditional update that is settled for sure."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from balsamway.configuration._unsafe_changes import unsafe_changes
from balsamway.configuration.acceptance_result import (
    AcceptConflict,
    Accepted,
    AcceptRefused,
    AcceptResult,
    AcceptUnknown,
)
from balsamway.configuration.codec import (
    Malformed,
    decode_configuration,
    decode_workspaces,
    encode_configuration,
    encode_workspaces,
)
from balsamway.configuration.constants import WORKSPACES_OBJECT
from balsamway.configuration.difference import difference
from balsamway.store import (
    Absent,
    Conflict,
    StoredObject,
    Unavailable,
    WriteUnknown,
    Written,
)
from balsamway.store.backoff import Backoff

if TYPE_CHECKING:
    from random import Random

    from balsamway.configuration.workspace_configuration import WorkspaceConfiguration
    from balsamway.store import Store

REMEMBERED_CHANGES = 32
"""How many change ids a configuration keeps of the versions before it."""
SETTLE_SECONDS = 20.0
"""How long a lost answer is followed up."""


class Acceptance:
    """Accepts configurations on behalf of an operator.

    A write whose answer was lost is sent again as it was: the store carries
    out at most one of them, as both expect the same version of the object,
    and the change id tells that it was this one.
    """

    def __init__(
        self, store: Store, rng: Random, settle_seconds: float = SETTLE_SECONDS
    ) -> None:
        """Prepares acceptance.

        Args:
            store: Where configurations are kept.
            rng: Draws change ids and the jitter of waits.
            settle_seconds: How long a lost answer is followed up.
        """
        self._store = store
        self._rng = rng
        self._settle_seconds = settle_seconds

    async def accept(self, offered: WorkspaceConfiguration, base: int) -> AcceptResult:
        """Accepts a configuration if it replaces the version reviewed.

        Args:
            offered: The configuration; its version and change id are set
                here.
            base: The version in force that the operator reviewed the
                configuration against; 0 for a new workspace.

        Returns:
            Whether the configuration is accepted.
        """
        deadline = asyncio.get_running_loop().time() + self._settle_seconds
        found = await self._store.read(offered.object_name)
        if isinstance(found, Unavailable):
            return AcceptRefused(f"the store cannot be read: {found.reason}")
        current = _decode(found, offered.workspace)
        if isinstance(current, Malformed):
            return AcceptRefused(f"the stored configuration: {current.reason}")
        if _version(current) != base:
            return _conflict(base, current, offered)
        refusal = unsafe_changes(current, offered) or await self._list(
            offered.workspace, deadline
        )
        if refusal:
            return AcceptRefused(refusal)
        return await self._write(_next(current, offered, self._rng), found, deadline)

    async def _list(self, workspace: str, deadline: float) -> str:
        """Lists the workspace in the index; returns a reason if it cannot.

        A workspace that is listed and has no configuration has no effect, so
        that a failure here leaves nothing in force.
        """
        backoff = Backoff(self._rng)
        while True:
            found = await self._store.read(WORKSPACES_OBJECT)
            if isinstance(found, Unavailable):
                reason = f"the index cannot be read: {found.reason}"
            else:
                workspaces = _decode_index(found)
                if isinstance(workspaces, Malformed):
                    return f"the stored index: {workspaces.reason}"
                if workspace in workspaces:
                    return ""
                body = encode_workspaces((*workspaces, workspace))
                result = await self._store.write(
                    WORKSPACES_OBJECT, body, _store_version(found)
                )
                match result:
                    case Written():
                        return ""
                    case Unavailable(reason=why) | WriteUnknown(reason=why):
                        reason = f"the index cannot be written: {why}"
                    case Conflict():
                        reason = "the index keeps changing"
            if not await _wait(backoff, deadline):
                return reason

    async def _write(
        self,
        offered: WorkspaceConfiguration,
        found: StoredObject | Absent,
        deadline: float,
    ) -> AcceptResult:
        backoff = Backoff(self._rng)
        body = encode_configuration(offered)
        lost = ""
        while True:
            result = await self._store.write(
                offered.object_name, body, _store_version(found)
            )
            match result:
                case Written():
                    return Accepted(offered.version)
                case Conflict(current=current):
                    return _settled(offered, current)
                case Unavailable(reason=reason):
                    if not lost:
                        return AcceptRefused(f"the store cannot be written: {reason}")
                case WriteUnknown(reason=reason):
                    lost = reason
            if not await _wait(backoff, deadline):
                return AcceptUnknown(offered.change_id, lost)
            read = await self._store.read(offered.object_name)
            if isinstance(read, Unavailable):
                continue
            if _store_version(read) != _store_version(found):
                return _settled(offered, read)


def _settled(
    offered: WorkspaceConfiguration, current: StoredObject | Absent
) -> AcceptResult:
    """Tells by the change ids whether the offered configuration won."""
    there = _decode(current, offered.workspace)
    if isinstance(there, Malformed):
        return AcceptUnknown(offered.change_id, f"what is stored: {there.reason}")
    if there is not None and offered.change_id in (there.change_id, *there.replaced):
        return Accepted(offered.version)
    if _version(there) > offered.version + REMEMBERED_CHANGES:
        return AcceptUnknown(offered.change_id, "too many versions came after it")
    return _conflict(offered.version - 1, there, offered)


def _conflict(
    base: int, current: WorkspaceConfiguration | None, offered: WorkspaceConfiguration
) -> AcceptConflict:
    return AcceptConflict(base, _version(current), difference(current, offered))


def _next(
    current: WorkspaceConfiguration | None, offered: WorkspaceConfiguration, rng: Random
) -> WorkspaceConfiguration:
    before = () if current is None else (current.change_id, *current.replaced)
    return replace(
        offered,
        version=_version(current) + 1,
        change_id=f"{rng.getrandbits(96):024x}",
        replaced=before[:REMEMBERED_CHANGES],
    )


def _decode(
    found: StoredObject | Absent, workspace: str
) -> WorkspaceConfiguration | Malformed | None:
    if isinstance(found, Absent):
        return None
    return decode_configuration(found.body, workspace)


def _decode_index(found: StoredObject | Absent) -> tuple[str, ...] | Malformed:
    if isinstance(found, Absent):
        return ()
    return decode_workspaces(found.body)


def _version(configuration: WorkspaceConfiguration | None) -> int:
    return 0 if configuration is None else configuration.version


def _store_version(found: StoredObject | Absent) -> int | None:
    return None if isinstance(found, Absent) else found.version


async def _wait(backoff: Backoff, deadline: float) -> bool:
    """Waits before the next try; returns False when the time is up."""
    seconds = backoff.next_seconds()
    if asyncio.get_running_loop().time() + seconds > deadline:
        return False
    await asyncio.sleep(seconds)
    return True
