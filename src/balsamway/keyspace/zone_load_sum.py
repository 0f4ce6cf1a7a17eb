"""The load that the hosts of one zone report to their relay."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.keyspace.messages import ZoneLoadNotice

if TYPE_CHECKING:
    from balsamway.keyspace.messages import LoadNotice

REPORT_EXPIRY_SECONDS = 1.0
"""How long a host's report counts. A host that reports elsewhere since then
must not be counted twice for long."""


class ZoneLoadSum:
    """Sums up load notices until they are passed on to the leader.

    With a sum for each zone, what the leader receives does not grow with the
    number of hosts in it.
    """

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, LoadNotice]] = {}
        """For each host, when its last notice arrived, and the notice."""
        self._in_flight: dict[str, dict[str, int]] = {}
        """For each host, its requests in flight by target."""
        self._responses: dict[str, tuple[int, int, int]] = {}
        """For each target, the counts since the last notice to the leader."""
        self._keys: dict[str, dict[int, int]] = {}
        self._busy_targets: set[str] = set()
        """The targets with requests in flight in the last notice."""

    def add(self, notice: LoadNotice) -> None:
        """Add the report of a host.

        Args:
            notice: The load that the host saw since its last report.
        """
        self._reports[notice.host] = (now(), notice)
        in_flight = self._in_flight[notice.host] = {}
        for name, counts in notice.targets.items():
            in_flight[name] = counts[0]
            sums = self._responses.get(name, (0, 0, 0))
            self._responses[name] = (
                sums[0] + counts[1],
                sums[1] + counts[2],
                sums[2] + counts[3],
            )
        for service, counts_by_key in notice.keys.items():
            key_sums = self._keys.setdefault(service, {})
            for key, count in counts_by_key.items():
                key_sums[key] = key_sums.get(key, 0) + count

    def take(
        self, relay: str, zone: str, seen: dict[str, tuple[int, int]]
    ) -> ZoneLoadNotice:
        """Return the notice to the leader, and count anew.

        Args:
            relay: The name of this host.
            zone: The zone.
            seen: The versions of this host's key maps.

        Returns:
            The sums over all hosts that reported lately.
        """
        oldest = now() - REPORT_EXPIRY_SECONDS
        for host in [name for name, (at, _) in self._reports.items() if at < oldest]:
            del self._reports[host], self._in_flight[host]
        sums: dict[str, int] = {}
        for in_flight in self._in_flight.values():
            for name, count in in_flight.items():
                if count:
                    sums[name] = sums.get(name, 0) + count
        # A target without requests in flight is named once more, so that the
        # leader does not count the earlier ones on.
        names = {*sums, *self._responses, *self._busy_targets}
        targets = {
            name: (sums.get(name, 0), *self._responses.get(name, (0, 0, 0)))
            for name in names
        }
        keys, self._keys = self._keys, {}
        self._responses = {}
        self._busy_targets = set(sums)
        notices = [notice for _, notice in self._reports.values()]
        return ZoneLoadNotice(
            relay,
            zone,
            {notice.host: notice.address for notice in notices},
            tuple(notice.host for notice in notices if notice.is_draining),
            targets,
            keys,
            seen,
        )

    def clear(self) -> None:
        """Forget all reports, when this host is no longer the relay."""
        self._reports.clear()
        self._in_flight.clear()
        self._responses.clear()
        self._keys.clear()
        self._busy_targets.clear()
