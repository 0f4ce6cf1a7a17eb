"""The interface of the platform's list of hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.store.host import Host
    from balsamway.store.store import Unavailable


class HostList(Protocol):
    """The platform's list of live and draining hosts, which lags behind."""

    async def hosts(self) -> tuple[Host, ...] | Unavailable:
        """Read the list.

        Returns:
            All hosts of the list, or the reason why it could not be read.
        """
        ...
