"""The targets that this gateway may use, with its statistics of them."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from balsamway.gateway.admission import Admission
from balsamway.gateway.owner_group import OwnerGroup
from balsamway.gateway.target_state import TargetState
from balsamway.store import HostState

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from balsamway.gateway.connection_budget import ConnectionBudget
    from balsamway.membership.host_directory import HostDirectory
    from balsamway.store import Host

REFRESH_INTERVAL_SECONDS = 1.0
"""How often the shares of connections are recomputed."""


class TargetPool:
    """The targets that this gateway may use, with its statistics of them."""

    def __init__(
        self, directory: HostDirectory, budget: ConnectionBudget, rng: random.Random
    ) -> None:
        """Initialize a pool that knows no target yet.

        Args:
            directory: The directory of known hosts.
            budget: The limits on the connections to each target.
            rng: The random source for the duration of backoffs.
        """
        self._directory = directory
        self._budget = budget
        self._rng = rng
        self._states: dict[str, TargetState] = {}
        self._hosts: dict[tuple[str, str], tuple[Host, ...]] = {}
        self._candidates: dict[tuple[str, str], tuple[TargetState, ...]] = {}
        self._refresh_at = 0.0

    def find_owner(self, name: str) -> tuple[TargetState, Admission] | None:
        """Return the state and the queue of a target that owns keys.

        Args:
            name: The target's name.

        Returns:
            The state and the queue, or None if the directory does not list
            the target.
        """
        self._refresh_if_due()
        host = self._directory.target(name)
        if host is None:
            return None
        state = self._states.get(name)
        if state is None or state.host is not host:
            state = self._update(host, -math.inf)
        if state.admission is None:
            state.admission = Admission(OwnerGroup(state))
        return state, state.admission

    def candidates(self, workspace: str, service: str) -> Sequence[TargetState]:
        """Return the targets that a request without an owner may go to.

        Args:
            workspace: The workspace's name.
            service: The service's name.

        Returns:
            The live targets that this gateway may connect to. Draining
            targets get no new requests. While nothing changes, the same
            object is returned.
        """
        self._refresh_if_due()
        key = (workspace, service)
        hosts = self._directory.targets(workspace, service)
        if hosts != self._hosts.get(key):
            self._update_candidates(key, hosts)
        return self._candidates[key]

    def states(self) -> tuple[TargetState, ...]:
        """Return the states of all targets, sorted by name."""
        return tuple(self._states[name] for name in sorted(self._states))

    def dump(self) -> list[dict[str, object]]:
        """Return the state of each target for the state dump."""
        return [state.dump() for state in self.states()]

    def _refresh_if_due(self) -> None:
        now = asyncio.get_running_loop().time()
        if now < self._refresh_at:
            return
        self._refresh_at = now + REFRESH_INTERVAL_SECONDS
        for state in self.states():
            state.limit.set_max(self._budget.limit(state.host))
            if not state.in_flight and self._directory.target(state.name) is None:
                del self._states[state.name]
        for key, hosts in self._hosts.items():
            self._update_candidates(key, hosts)

    def _update_candidates(self, key: tuple[str, str], hosts: tuple[Host, ...]) -> None:
        joined_at = -math.inf
        if key in self._hosts:
            joined_at = asyncio.get_running_loop().time()
        states = [self._update(host, joined_at) for host in hosts]
        states = [state for state in states if state.limit.value >= 1]
        live = [state for state in states if state.host.state is HostState.LIVE]
        self._hosts[key] = hosts
        candidates = tuple(live)
        if candidates != self._candidates.get(key):
            self._candidates[key] = candidates

    def _update(self, host: Host, joined_at: float) -> TargetState:
        state = self._states.get(host.name)
        if state is not None and state.host.address == host.address:
            state.host = host
            return state
        connection_limit = self._budget.limit(host)
        state = TargetState(host, connection_limit, joined_at, self._rng)
        self._states[host.name] = state
        return state
