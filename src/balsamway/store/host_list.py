"""The interface of the platform's list of hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.store.host import Host
    from balsamway.store.store import Unavailable


class HostList(Protocol):
    """The platform's list of live and leaving hosts, which lags."""

    async def hosts(self) -> tuple[Host, ...] | Unavailable:
        """Reads the list.

        Returns:
            Every host listed, or why the list could not be read.
        """
        ...
