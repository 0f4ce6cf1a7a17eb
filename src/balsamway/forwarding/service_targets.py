"""The targets of the services, with what was seen of each."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.exchange import ConnectionPool
from balsamway.forwarding.target_state import TargetState

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from balsamway.discovery import TargetDirectory
    from balsamway.routing import RoutedService

CONNECTIONS_SHARE = 0.9
"""The part of a target's connections that the entry hosts use; the rest is
for the leader's grants."""
CONNECTIONS_AT_LEAST = 3


class ServiceTargets:
    """Keeps a state for each target that is known."""

    def __init__(
        self,
        directory: TargetDirectory,
        on_open: Callable[[], None],
        drain_seconds: float,
    ) -> None:
        """Follows a directory.

        Args:
            directory: The targets that exist.
            on_open: Called for each connection that was opened.
            drain_seconds: How soon a draining target must get nothing new.
        """
        self._drain_seconds = drain_seconds
        self._directory = directory
        self._on_open = on_open
        self._states: dict[tuple[str, int], TargetState] = {}
        self._usable: dict[str, tuple[TargetState, ...]] = {}
        self._limits: dict[str, int] = {}
        self._hosts = 1
        directory.add_listener(self.refresh)

    def set_limits(self, services: Sequence[RoutedService], hosts: int) -> None:
        """Shares the targets' connections among the entry hosts.

        Args:
            services: The services of the configuration in force.
            hosts: How many entry hosts there may be.
        """
        self._limits = {
            one.name: max(
                CONNECTIONS_AT_LEAST,
                int(one.max_connections * CONNECTIONS_SHARE / hosts),
            )
            for one in services
        }
        for state in self._states.values():
            state.pool.limit = self._limit(state.entry.service)

    def all(self) -> Sequence[TargetState]:
        """Gives every state."""
        return tuple(self._states.values())

    def usable(self, service: str) -> Sequence[TargetState]:
        """Gives the targets of a service that may get requests.

        Args:
            service: The name of the service.
        """
        return self._usable.get(service, ())

    def find(self, name: str, incarnation: int) -> TargetState | None:
        """Gives the state of one run of a target, or None.

        Args:
            name: The target's name.
            incarnation: Which run of it.
        """
        return self._states.get((name, incarnation))

    def refresh(self) -> None:
        """Takes over the directory's changes."""
        known = {entry.key: entry for entry in self._directory.entries}
        for key in [key for key in self._states if key not in known]:
            self._states.pop(key).pool.close()
        for key, entry in known.items():
            state = self._states.get(key)
            if state is not None and state.entry.address == entry.address:
                state.update(entry)
                continue
            pool = ConnectionPool(
                entry.address, self._limit(entry.service), self._on_open
            )
            self._states[key] = TargetState(entry, pool, self._drain_seconds)
        services = {entry.service for entry in known.values()}
        self._usable = {
            service: tuple(
                self._states[entry.key]
                for entry in self._directory.available_targets(service)
            )
            for service in services
        }

    def reaches_most_targets(self) -> bool:
        """Tells whether this host found a connection to most targets."""
        states = self._states.values()
        return 2 * sum(one.is_unreachable for one in states) <= len(states)

    def close_idle(self) -> None:
        """Closes the connections that were idle for too long."""
        for state in self._states.values():
            state.pool.close_idle()

    def _limit(self, service: str) -> int:
        return self._limits.get(service, CONNECTIONS_AT_LEAST)
