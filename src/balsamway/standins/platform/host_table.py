"""The hosts that the platform stand-in lists."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.store import Host

HISTORY_LENGTH = 256


class HostTable:
    """A list of hosts that can be read as it was some time ago."""

    def __init__(self, hosts: tuple[Host, ...]) -> None:
        self._hosts = {host.name: host for host in hosts}
        self._history: deque[tuple[float, tuple[Host, ...]]] = deque(
            [(float("-inf"), hosts)], maxlen=HISTORY_LENGTH
        )

    def put(self, host: Host, now: float) -> None:
        """Adds or replaces a host.

        Args:
            host: The host.
            now: The runtime's clock, in seconds.
        """
        self._hosts[host.name] = host
        self._remember(now)

    def remove(self, name: str, now: float) -> None:
        """Removes a host, if it is listed.

        Args:
            name: The host's name.
            now: The runtime's clock, in seconds.
        """
        self._hosts.pop(name, None)
        self._remember(now)

    def at(self, time: float) -> tuple[Host, ...]:
        """Gives the list as it was at a time.

        Args:
            time: The runtime's clock, in seconds.

        Returns:
            The hosts listed then.
        """
        for changed, hosts in reversed(self._history):
            if changed <= time:
                return hosts
        return self._history[0][1]

    def _remember(self, now: float) -> None:
        self._history.append((now, tuple(self._hosts.values())))
