"""The availability zones that are evacuated, and since when."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.evacuation.evacuation import Evacuation

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

OWNERS_FRACTION = 0.5
"""The fraction of the time to evacuate in which targets of the zone still get
requests for the keys that they own. It is counted from when this host learned
of the evacuation. The remainder, 2.5 of 5 s, allows for the 1.5 s that a host
may learn of a change late; see `WatchRelay`."""
RESTORED_HOLD_SECONDS = 4.0
"""How long after a restore of the store an evacuation that the store no longer
lists stays in force. Its entry may have been written after the copy, and is
written again."""
MAX_NAME_LOG_CHARACTERS = 100
"""Bounds a line, since anyone may have written the name that it shows."""

_UNKNOWN = Evacuation(float("-inf"), float("-inf"))
"""Stands for every zone until the evacuations are known."""

logger = logging.getLogger(__name__)


class EvacuatedZones:
    """Keeps the evacuations in force and notifies listeners of changes.

    Until the first snapshot every zone counts as evacuated, because a host
    that starts during an evacuation must not send to the zone.
    """

    def __init__(self, evacuate_seconds: float | None = None) -> None:
        """Create the state without any evacuation.

        Args:
            evacuate_seconds: The time within which requests to the targets of
                an evacuated zone must stop. None if zones are not evacuated.
        """
        self._owners_seconds = OWNERS_FRACTION * (evacuate_seconds or 0.0)
        self._is_known = evacuate_seconds is None
        self._evacuations: dict[str, Evacuation] = {}
        self._hold_until: dict[str, float] = {}
        """When the evacuations end that a restored store lacks, by zone."""
        self._restored_at = float("-inf")
        self._listeners: list[Callable[[], None]] = []

    @property
    def is_known(self) -> bool:
        """Whether the evacuations were received at least once."""
        return self._is_known

    @property
    def zones(self) -> tuple[str, ...]:
        """The names of the evacuated zones."""
        return tuple(sorted(self._evacuations))

    def find(self, zone: str) -> Evacuation | None:
        """Return the evacuation of a zone, or None if it is not evacuated.

        Args:
            zone: The name of the zone.
        """
        return self._evacuations.get(zone) if self._is_known else _UNKNOWN

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Add a function that is called after each change.

        Args:
            listener: The function to call, without arguments.
        """
        self._listeners.append(listener)

    def replace(self, zones: Collection[str]) -> None:
        """Replace all evacuations by those of a snapshot.

        Args:
            zones: The names of all zones that have an entry in the store.
        """
        before = (self._is_known, self.zones)
        for zone in set(zones) - self._evacuations.keys():
            # The entry may be much older than the snapshot, so that the time
            # in which owners may still get requests may be over.
            self._begin(zone, 0.0, "snapshot")
        for zone in self._evacuations.keys() - set(zones):
            self._on_missing(zone)
        for zone in zones:
            self._hold_until.pop(zone, None)
        self._is_known = True
        if (self._is_known, self.zones) != before:
            self._notify()

    def add(self, zone: str) -> None:
        """Evacuate a zone whose entry was written.

        Args:
            zone: The name of the zone.
        """
        self._hold_until.pop(zone, None)
        if zone not in self._evacuations:
            self._begin(zone, self._owners_seconds, "change")
            self._notify()

    def remove(self, zone: str) -> None:
        """End the evacuation of a zone whose entry was removed.

        Args:
            zone: The name of the zone.
        """
        if zone in self._evacuations:
            self._end(zone, "removed")
            self._notify()

    def on_store_restored(self) -> None:
        """Record that the store was restored from an older copy."""
        self._restored_at = now()

    def remove_expired(self) -> None:
        """End the evacuations that a restored store did not list again."""
        expired = [zone for zone, at in self._hold_until.items() if at <= now()]
        for zone in expired:
            self._end(zone, "not listed after a restore")
        if expired:
            self._notify()

    def dump(self) -> dict[str, object]:
        """Return the evacuations for the state dump."""
        return {
            "known": self._is_known,
            "zones": {
                zone: {
                    "seconds": round(now() - evacuation.since, 3),
                    "owners_seconds": round(
                        max(0.0, evacuation.owners_until - now()), 3
                    ),
                    "is_listed": zone not in self._hold_until,
                }
                for zone, evacuation in self._evacuations.items()
            },
        }

    def _begin(self, zone: str, owners_seconds: float, source: str) -> None:
        self._evacuations[zone] = Evacuation(now(), now() + owners_seconds)
        logger.warning(
            "zone-evacuated",
            extra={
                "evacuated_zone": zone[:MAX_NAME_LOG_CHARACTERS],
                "source": source,
                "owners_seconds": owners_seconds,
            },
        )

    def _end(self, zone: str, reason: str) -> None:
        evacuation = self._evacuations.pop(zone)
        self._hold_until.pop(zone, None)
        logger.warning(
            "zone-evacuation-ended",
            extra={
                "evacuated_zone": zone[:MAX_NAME_LOG_CHARACTERS],
                "reason": reason,
                "seconds": round(now() - evacuation.since, 3),
            },
        )

    def _on_missing(self, zone: str) -> None:
        hold_until = self._restored_at + RESTORED_HOLD_SECONDS
        if hold_until <= now():
            self._end(zone, "not listed")
            return
        if zone not in self._hold_until:
            logger.warning(
                "zone-evacuation-held",
                extra={
                    "evacuated_zone": zone[:MAX_NAME_LOG_CHARACTERS],
                    "seconds": round(hold_until - now(), 3),
                },
            )
        self._hold_until[zone] = hold_until

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
