"""Accept a configuration with a conditional write to the store."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from balsamway.configuration._unsafe_changes import unsafe_change_reason
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

MAX_REPLACED_CHANGE_IDS = 32
"""How many change ids of earlier versions a configuration keeps.

They tell an operator's write apart from others after later changes.
"""
UNKNOWN_WRITE_TIMEOUT_SECONDS = 20.0
"""How long a write without a result is retried and checked."""


class Acceptance:
    """Accepts configurations on behalf of an operator.

    A write whose result was lost is sent again unchanged. Both writes expect
    the same version of the object, so the store applies at most one of them.
    The change id then shows whether the stored version is this one.
    """

    def __init__(
        self,
        store: Store,
        rng: Random,
        settle_seconds: float = UNKNOWN_WRITE_TIMEOUT_SECONDS,
    ) -> None:
        """Create an acceptor of configurations.

        Args:
            store: The store that holds the configurations.
            rng: Draws change ids and the jitter of waits.
            settle_seconds: How long a write without a result is retried
                and checked.
        """
        self._store = store
        self._rng = rng
        self._settle_seconds = settle_seconds

    async def accept(self, offered: WorkspaceConfiguration, base: int) -> AcceptResult:
        """Accept a configuration if the reviewed version is still in force.

        Args:
            offered: The configuration; its version and change id are set
                here.
            base: The version in force that the operator reviewed the
                configuration against; 0 for a new workspace.

        Returns:
            Whether the configuration was accepted, refused or conflicts with
        another, or that this is unknown.
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
        refusal = unsafe_change_reason(current, offered) or await self._add_to_index(
            offered.workspace, deadline
        )
        if refusal:
            return AcceptRefused(refusal)
        return await self._write(
            _next_version(current, offered, self._rng), found, deadline
        )

    async def _add_to_index(self, workspace: str, deadline: float) -> str:
        """Add the workspace to the index; return the reason if this fails.

        A workspace that is in the index without a configuration has no
        effect, so a failure after this step puts nothing in force.
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
                    case Unavailable(reason=cause) | WriteUnknown(reason=cause):
                        reason = f"the index cannot be written: {cause}"
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
        loss_reason = ""
        while True:
            result = await self._store.write(
                offered.object_name, body, _store_version(found)
            )
            match result:
                case Written():
                    return Accepted(offered.version)
                case Conflict(current=current):
                    return _result_of_write(offered, current)
                case Unavailable(reason=reason):
                    if not loss_reason:
                        return AcceptRefused(f"the store cannot be written: {reason}")
                case WriteUnknown(reason=reason):
                    loss_reason = reason
            if not await _wait(backoff, deadline):
                return AcceptUnknown(offered.change_id, loss_reason)
            read = await self._store.read(offered.object_name)
            if isinstance(read, Unavailable):
                continue
            if _store_version(read) != _store_version(found):
                return _result_of_write(offered, read)


def _result_of_write(
    offered: WorkspaceConfiguration, current: StoredObject | Absent
) -> AcceptResult:
    """Decide by the change ids whether the offered version was stored."""
    stored = _decode(current, offered.workspace)
    if isinstance(stored, Malformed):
        return AcceptUnknown(offered.change_id, f"what is stored: {stored.reason}")
    if stored is not None and offered.change_id in (stored.change_id, *stored.replaced):
        return Accepted(offered.version)
    if _version(stored) > offered.version + MAX_REPLACED_CHANGE_IDS:
        return AcceptUnknown(offered.change_id, "too many versions came after it")
    return _conflict(offered.version - 1, stored, offered)


def _conflict(
    base: int, current: WorkspaceConfiguration | None, offered: WorkspaceConfiguration
) -> AcceptConflict:
    return AcceptConflict(base, _version(current), difference(current, offered))


def _next_version(
    current: WorkspaceConfiguration | None, offered: WorkspaceConfiguration, rng: Random
) -> WorkspaceConfiguration:
    replaced = () if current is None else (current.change_id, *current.replaced)
    return replace(
        offered,
        version=_version(current) + 1,
        change_id=f"{rng.getrandbits(96):024x}",
        replaced=replaced[:MAX_REPLACED_CHANGE_IDS],
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
    """Wait before the next attempt; return False past the deadline."""
    seconds = backoff.next_seconds()
    if asyncio.get_running_loop().time() + seconds > deadline:
        return False
    await asyncio.sleep(seconds)
    return True
