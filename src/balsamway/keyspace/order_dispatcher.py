"""Sends grants to the owners of keys, and releases to previous owners."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from balsamway.keyspace.control_connections import ControlConnections
from balsamway.keyspace.grant_renewer import GrantRenewer
from balsamway.keyspace.release_keys import release_keys
from balsamway.keyspace.target_incarnation import TargetIncarnation

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from balsamway.discovery import TargetDirectory
    from balsamway.keyspace.service_keys import ServiceKeys
    from balsamway.keyspace.target_control import TargetControl


class OrderDispatcher:
    """Runs a grant renewer per owner and a release per previous owner.

    The stored record names the owners and the previous owners.
    """

    def __init__(
        self,
        keys: ServiceKeys,
        directory: TargetDirectory,
        control: TargetControl,
        is_leader: Callable[[], bool],
        is_store_unavailable: Callable[[], bool],
        on_released: Callable[[], None],
    ) -> None:
        """Create a dispatcher that sends nothing yet.

        Args:
            keys: The keys of the service.
            directory: The targets that exist.
            control: Sends the orders.
            is_leader: Tells whether this host leads at this moment.
            is_store_unavailable: Tells whether the store seems unavailable.
            on_released: Called when keys are released, or when their release
                takes longer than expected.
        """
        self._keys = keys
        self._directory = directory
        self._control = control
        self._is_leader = is_leader
        self._is_store_unavailable = is_store_unavailable
        self._on_released = on_released
        self._was_unavailable = False
        self._renewers: dict[
            TargetIncarnation, tuple[GrantRenewer, asyncio.Task[None]]
        ] = {}
        self._connections: dict[TargetIncarnation, ControlConnections] = {}

    @property
    def failing_seconds(self) -> dict[TargetIncarnation, float]:
        """How long the orders to each owner have been failing, in seconds."""
        return {
            owner: renewer.failing_seconds
            for owner, (renewer, _) in self._renewers.items()
        }

    def renewer(self, owner: TargetIncarnation) -> GrantRenewer | None:
        """Return the grant renewer of an owner, or None if it has none.

        Args:
            owner: The owner.
        """
        found = self._renewers.get(owner)
        return None if found is None else found[0]

    def wake_on_outage(self) -> None:
        """Renew grants for longer as soon as the store seems unavailable."""
        is_unavailable = self._is_store_unavailable()
        if is_unavailable and not self._was_unavailable:
            self._wake_renewers()
        self._was_unavailable = is_unavailable

    def apply_record(self, tasks: asyncio.TaskGroup) -> None:
        """Start the renewers and releases that the record asks for.

        Renewers of targets that own nothing any more are stopped, and new
        grants are sent at once.

        Args:
            tasks: The task group of this leadership.
        """
        self._start_releases(tasks)
        owners = {segment.owner for segment in self._keys.record.segments}
        for owner in owners:
            connections = self._connections_to(owner)
            if owner not in self._renewers and connections is not None:
                self._start_renewer(owner, connections, tasks)
        for owner in [known for known in self._renewers if known not in owners]:
            self._renewers.pop(owner)[1].cancel()
        self._wake_renewers()

    def close(self) -> None:
        """Close the connections to all targets."""
        for connections in self._connections.values():
            connections.close()

    def _wake_renewers(self) -> None:
        for renewer, _ in self._renewers.values():
            renewer.wake()

    def _start_releases(self, tasks: asyncio.TaskGroup) -> None:
        for pending in self._keys.pending_releases():
            if pending.task is not None and not pending.task.done():
                continue
            owner = pending.previous.owner
            release = release_keys(
                self._keys,
                pending,
                functools.partial(self._release_connections, owner),
                self._control,
                self._is_leader,
                self._on_released,
            )
            pending.task = tasks.create_task(release)

    def _start_renewer(
        self,
        owner: TargetIncarnation,
        connections: ControlConnections,
        tasks: asyncio.TaskGroup,
    ) -> None:
        renewer = GrantRenewer(
            self._keys,
            owner,
            connections,
            self._control,
            self._is_leader,
            self._is_store_unavailable,
        )
        self._renewers[owner] = (renewer, tasks.create_task(renewer.run()))

    def _connections_to(self, owner: TargetIncarnation) -> ControlConnections | None:
        """Return the connections to an owner, or None if it was never listed.

        Connections are replaced when the listed address changes, and kept
        when the owner is no longer listed.
        """
        listed = self._directory.find(owner.name)
        connections = self._connections.get(owner)
        if listed is None or listed.incarnation != owner.incarnation:
            return connections
        if connections is None or connections.address != listed.address:
            connections = self._connections[owner] = ControlConnections(listed.address)
        return connections

    def _release_connections(
        self, owner: TargetIncarnation
    ) -> ControlConnections | None:
        """Return the connections to an owner or its later incarnation."""
        listed = self._directory.find(owner.name)
        # An entry of an earlier incarnation is an outdated one.
        if listed is not None and listed.incarnation > owner.incarnation:
            return self._connections_to(TargetIncarnation(*listed.key))
        return self._connections_to(owner)
