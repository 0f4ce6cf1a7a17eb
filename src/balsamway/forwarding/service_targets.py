"""The known targets of all services, with this host's state of each."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.exchange import ConnectionPool
from balsamway.forwarding.target_state import TargetState
from balsamway.limits import ColdTarget
from balsamway.occupancy import ServiceRoom, SharedRoom

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from balsamway.discovery import TargetDirectory
    from balsamway.exchange import ByteBudget
    from balsamway.routing import RoutedService

CONNECTIONS_FRACTION = 0.9
"""The fraction of a target's connections that the entry hosts share. The
remainder is for the grants that the leader sends."""
MIN_CONNECTIONS = 3
"""The least number of connections to a target that one host may open."""


class ServiceTargets:
    """Keeps the state of each target that the directory lists."""

    def __init__(
        self,
        directory: TargetDirectory,
        on_open: Callable[[], None],
        drain_seconds: float,
        budget: ByteBudget,
    ) -> None:
        """Follow a directory of targets.

        Args:
            directory: The directory of the targets that exist.
            on_open: Called after each connection that was opened.
            drain_seconds: The time within which a target must stop receiving
                new requests after it began to drain.
            budget: Bounds the memory of the responses of all targets.
        """
        self._budget = budget
        self._drain_seconds = drain_seconds
        self._directory = directory
        self._on_open = on_open
        self._states: dict[tuple[str, int], TargetState] = {}
        self._usable: dict[str, tuple[TargetState, ...]] = {}
        self._connection_limits: dict[str, int] = {}
        self._cold_rates: dict[str, float | None] = {}
        self._paced_services: set[str] = set()
        self._has_snapshot = False
        self.on_turned_cold: Callable[[Sequence[TargetState]], None] | None = None
        """Called with the targets that an entry showed to have turned cold."""
        self._hosts = 1
        self._keyed: frozenset[str] = frozenset()
        """The services with exclusive keys."""
        self._evacuated: frozenset[str] = frozenset()
        """The services with targets in evacuated zones only."""
        self._rooms: dict[str, ServiceRoom] = {}
        directory.add_listener(self.refresh)

    def set_limits(self, services: Sequence[RoutedService], host_count: int) -> None:
        """Divide the targets' connections among the entry hosts.

        Args:
            services: The services of the configuration in force.
            host_count: The number of entry hosts that share the connections.
        """
        self._keyed = frozenset(
            service.name for service in services if service.is_keyed
        )
        self._connection_limits = {
            service.name: max(
                MIN_CONNECTIONS,
                int(service.max_connections * CONNECTIONS_FRACTION / host_count),
            )
            for service in services
        }
        self._cold_rates = {
            service.name: service.warmup_requests_per_second for service in services
        }
        self._paced_services = {
            service.name for service in services if service.warmup_seconds > 0
        }
        for state in self._states.values():
            state.pool.limit = self._connection_limit(state.entry.service)
            state.cold.requests_per_second = self._cold_rates.get(state.entry.service)
            if state.entry.service not in self._paced_services:
                # Nothing would end a pace of a service that has none any more.
                state.pace.on_report(None)

    def all(self) -> Sequence[TargetState]:
        """Return the states of all targets."""
        return tuple(self._states.values())

    def limited(self) -> Sequence[TargetState]:
        """Return the states of the targets whose requests are limited."""
        return tuple(
            state
            for state in self._states.values()
            if state.requests_per_second is not None
        )

    def paced(self) -> Sequence[TargetState]:
        """Return the targets whose service names a warm-up time."""
        return [
            state
            for state in self._states.values()
            if state.entry.service in self._paced_services
        ]

    def rooms(self) -> Mapping[str, ServiceRoom]:
        """Return what was learned of each service, by its name."""
        return self._rooms

    def room(self, service: str) -> ServiceRoom:
        """Return how many requests the targets of a service hold.

        Args:
            service: The name of the service.
        """
        return self._rooms.setdefault(service, ServiceRoom(service))

    def learned_rooms(self) -> dict[str, tuple[float, bool]]:
        """Return what this host learned of the services, for its reports."""
        return {
            service: (round(shared.per_slot, 2), shared.is_resetting)
            for service, room in self._rooms.items()
            if (shared := room.shared) is not None
        }

    def adopt_rooms(self, rooms: Mapping[str, tuple[float, bool]]) -> None:
        """Apply what all hosts learned of the services.

        Args:
            rooms: The room for each slot of a target, and whether full targets
                reset connections, by service.
        """
        services = {state.entry.service for state in self._states.values()}
        for service in services.intersection(rooms):
            self.room(service).adopt(SharedRoom(*rooms[service]))

    def full(self) -> Sequence[TargetState]:
        """Return the states of the targets that are estimated to be full."""
        return tuple(state for state in self._states.values() if state.is_full)

    def usable(self, service: str) -> Sequence[TargetState]:
        """Return the targets of a service that may receive requests.

        Targets that are leaving are used only while there are no others.

        Args:
            service: The name of the service.
        """
        return self._usable.get(service) or tuple(
            state
            for state in self._states.values()
            if state.entry.service == service and state.is_available
        )

    def is_evacuated(self, service: str) -> bool:
        """Return whether all targets of a service are in evacuated zones.

        Args:
            service: The name of the service. One without targets has none in
                an evacuated zone.
        """
        return service in self._evacuated

    def leaving(self) -> Sequence[TargetState]:
        """Return the states of the targets that said that they are leaving."""
        return tuple(
            state for state in self._states.values() if state.leaving_since is not None
        )

    def resting(self) -> Sequence[TargetState]:
        """Return the states of the targets that rest or are probed again."""
        return tuple(state for state in self._states.values() if state.rest.is_active)

    @property
    def offered_bytes(self) -> int:
        """The bytes of the bodies offered to all targets now."""
        return sum(state.offered.total for state in self._states.values())

    def dump(self) -> dict[str, object]:
        """Return the targets that may get fewer requests, for the dump."""
        return {
            state.entry.name: state.dump()
            for state in self._states.values()
            if state.leaving_since is not None
            or state.rest.is_active
            or state.evacuation is not None
            or state.offered.total
            or state.is_full
        }

    def on_leaving(self, state: TargetState) -> None:
        """Record a response that says that its target is leaving.

        Args:
            state: The state of the target that sent the response.
        """
        self._directory.on_leaving(state.entry.key, now(), is_from_response=True)

    def on_leaving_report(self, name: str, incarnation: int, age_ms: int) -> None:
        """Apply the report of another host that a target is leaving.

        Args:
            name: The target's name.
            incarnation: The incarnation of the target.
            age_ms: How long ago it said so, in milliseconds.
        """
        since = now() - max(0, age_ms) / 1000
        self._directory.on_leaving((name, incarnation), since, is_from_response=False)

    def find(self, name: str, incarnation: int) -> TargetState | None:
        """Return the state of one incarnation of a target.

        Args:
            name: The target's name.
            incarnation: The incarnation of the target.

        Returns:
            The state, or None if the directory does not list the incarnation.
        """
        return self._states.get((name, incarnation))

    def refresh(self) -> None:
        """Apply the directory's changes to the states."""
        listed = {entry.key: entry for entry in self._directory.entries}
        known_places = {(s.entry.name, s.entry.address) for s in self.all()}
        for key in [key for key in self._states if key not in listed]:
            self._states.pop(key).pool.close()
        for key, entry in listed.items():
            state = self._states.get(key)
            if state is not None and state.entry.address == entry.address:
                state.update(entry)
                continue
            pool = ConnectionPool(
                entry.address,
                self._connection_limit(entry.service),
                self._on_open,
                budget=self._budget,
            )
            cold = ColdTarget(
                entry.warmup_seconds,
                is_observed=self._has_snapshot,
                requests_per_second=self._cold_rates.get(entry.service),
            )
            if (entry.name, entry.address) in known_places:
                cold.settle()
            state = TargetState(
                entry, pool, self._drain_seconds, cold, self.room(entry.service)
            )
            pool.may_use = functools.partial(self._may_use_connection, state)
            if self._has_snapshot:
                state.on_start_seen()
            self._states[key] = state
        self._has_snapshot = self._directory.has_snapshot
        for key, state in self._states.items():
            state.leaving_since = self._directory.leaving.since(key)
            zones = self._directory.evacuated_zones
            state.evacuation = zones.find(state.entry.zone)
        services = {entry.service for entry in listed.values()}
        self._evacuated = frozenset(services) - {
            state.entry.service
            for state in self._states.values()
            if state.evacuation is None
        }
        self._usable = {
            service: tuple(
                state
                for entry in self._directory.available_targets(service)
                if (state := self._states[entry.key]).is_available
            )
            for service in services
        }
        self._report_cold()

    def on_cold_report(self, cold: dict[str, tuple[int, int]]) -> Sequence[TargetState]:
        """Apply the report of another host that targets are cold.

        Args:
            cold: For each target, its incarnation and how many milliseconds it
                remains cold.

        Returns:
            The states of those that are cold for longer than this host knew.
        """
        return [
            state
            for name, (incarnation, left_ms) in cold.items()
            if (state := self._states.get((name, incarnation))) is not None
            and state.cold.on_report(left_ms / 1000)
        ]

    def _report_cold(self) -> None:
        turned = [state for state in self._states.values() if state.cold.take_news()]
        turned = [state for state in turned if state.cold.limit is not None]
        if turned and self.on_turned_cold is not None:
            self.on_turned_cold(turned)

    def reaches_most_targets(self) -> bool:
        """Return whether at least half of the targets are reachable.

        Those of evacuated zones do not count, since no attempt would show that
        they are reachable again.
        """
        states = [state for state in self._states.values() if state.evacuation is None]
        return 2 * sum(state.is_unreachable for state in states) <= len(states)

    def close_idle(self) -> None:
        """Close the connections that were idle for too long."""
        for state in self._states.values():
            state.pool.close_idle()

    def _may_use_connection(self, state: TargetState) -> bool:
        """Return whether a request may be written that waited until now."""
        evacuation = state.evacuation
        return evacuation is None or evacuation.may_receive(
            state.entry.service in self._keyed
        )

    def _connection_limit(self, service: str) -> int:
        return self._connection_limits.get(service, MIN_CONNECTIONS)
