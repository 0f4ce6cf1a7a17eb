from __future__ import annotations

from balsamway.store import Host, Unavailable


class FakeHostList:
    """The platform's host list, of which tests set `listed` and `outage`."""

    def __init__(self, listed: tuple[Host, ...] = ()) -> None:
        self.listed = listed
        self.outage = False
        self.reads = 0

    async def hosts(self) -> tuple[Host, ...] | Unavailable:
        self.reads += 1
        return Unavailable("outage") if self.outage else self.listed
