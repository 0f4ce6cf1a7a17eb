from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from balsamway.limits import NamedLimit, NoLimit


@dataclass
class LimitedTarget:
    """Executes every request, and names a limit while it has one."""

    name: str
    requests_per_second: float | None = None
    arrivals: list[float] = field(default_factory=list)

    def arrive(self):
        self.arrivals.append(asyncio.get_running_loop().time())

    def answer(self):
        if self.requests_per_second is None:
            return NoLimit()
        return NamedLimit(self.requests_per_second)

    def arrivals_between(self, begin, end):
        return sum(begin <= at < end for at in self.arrivals)

    def most_arrivals(self, begin, window_seconds):
        """Return the most arrivals in any window that begins at or after."""
        counted = [at for at in self.arrivals if at >= begin]
        most = first = 0
        for index, at in enumerate(counted):
            while counted[first] < at - window_seconds:
                first += 1
            most = max(most, index - first + 1)
        return most
