"""The hosts that the platform stand-in lists, with their history."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.store import Host

MAX_HISTORY_ENTRIES = 256
"""How many states of the list are kept for reading past states."""


class HostTable:
    """A list of hosts that can be read in a past state.

    Args:
        hosts: The hosts listed at the start.
    """

    def __init__(self, hosts: tuple[Host, ...]) -> None:
        self._hosts = {host.name: host for host in hosts}
        self._history: deque[tuple[float, tuple[Host, ...]]] = deque(
            [(float("-inf"), hosts)], maxlen=MAX_HISTORY_ENTRIES
        )

    def put(self, host: Host, now: float) -> None:
        """Add or replace a host.

        Args:
            host: The host.
            now: The current event loop time, in seconds.
        """
        self._hosts[host.name] = host
        self._append_to_history(now)

    def remove(self, name: str, now: float) -> None:
        """Remove a host if it is listed.

        Args:
            name: The host's name.
            now: The current event loop time, in seconds.
        """
        self._hosts.pop(name, None)
        self._append_to_history(now)

    def at(self, time: float) -> tuple[Host, ...]:
        """Return the list as it was at a given time.

        Args:
            time: The event loop time to look up, in seconds.

        Returns:
            The hosts listed then, or the oldest list that is kept.
        """
        for changed_at, hosts in reversed(self._history):
            if changed_at <= time:
                return hosts
        return self._history[0][1]

    def _append_to_history(self, now: float) -> None:
        self._history.append((now, tuple(self._hosts.values())))
