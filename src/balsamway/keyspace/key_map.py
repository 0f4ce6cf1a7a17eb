"""The owners of keys, as a gateway knows them."""

from __future__ import annotations

import asyncio
import bisect
from dataclasses import dataclass
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.forwarding.key_owner import KeyOwner

if TYPE_CHECKING:
    from balsamway.keyspace.key_record import KeyRecord
    from balsamway.keyspace.messages import KeyMapNotice

LEADER_TIMEOUT_SECONDS = 1.5
"""How long after the leader's last message a gateway reads the stored record
instead, since the leader may be lost. Notices come five times a second."""


@dataclass(frozen=True, slots=True)
class _ServiceKeyMap:
    """The key map of one service."""

    version: tuple[int, int]
    """The epoch and the serial of the leader's notice."""
    lasts: tuple[int, ...]
    """The last key of each segment."""
    owners: tuple[KeyOwner, ...]


class KeyMap:
    """Looks up the owners of keys; implements `KeyOwners`."""

    def __init__(self) -> None:
        self._key_maps: dict[str, _ServiceKeyMap] = {}
        self._changed: asyncio.Future[None] | None = None
        self._leader_seen_at = float("-inf")

    @property
    def is_stale(self) -> bool:
        """Whether the leader's last message is too old to rely on."""
        return now() - self._leader_seen_at > LEADER_TIMEOUT_SECONDS

    def known_versions(self) -> dict[str, tuple[int, int]]:
        """Return the epoch and serial of each service's key map."""
        return {name: key_map.version for name, key_map in self._key_maps.items()}

    def find_owner(self, service: str, key: int) -> KeyOwner | None:
        """Return the owner of a key; see `KeyOwners`."""
        key_map = self._key_maps.get(service)
        if key_map is None or not key_map.lasts:
            return None
        return key_map.owners[bisect.bisect_left(key_map.lasts, key)]

    def next_change(self) -> asyncio.Future[None]:
        """Return a future that completes at the next change of any owner."""
        if self._changed is None or self._changed.done():
            self._changed = asyncio.get_running_loop().create_future()
        return self._changed

    def on_leader_message(self) -> None:
        """Record that the leader is alive though nothing changed."""
        self._leader_seen_at = now()

    def on_notice(self, notice: KeyMapNotice) -> None:
        """Adopt the leader's key map of a service, unless it is older.

        Args:
            notice: The leader's notice.
        """
        version = (notice.epoch, notice.serial)
        key_map = self._key_maps.get(notice.service)
        if key_map is not None and version <= key_map.version:
            if notice.epoch == key_map.version[0]:
                self._leader_seen_at = now()
            return
        self._leader_seen_at = now()
        owners = tuple(
            KeyOwner(*notice.holders[owner_index], ready, now() + wait_ms / 1000)
            for owner_index, ready, wait_ms in zip(
                notice.places, notice.ready, notice.waits_ms, strict=True
            )
        )
        self._replace(notice.service, _ServiceKeyMap(version, notice.lasts, owners))

    def on_record(self, service: str, record: KeyRecord, era: int) -> None:
        """Adopt a stored record while there are no messages from the leader.

        The record does not say whether an owner has accepted its grant. An
        owner without previous owners counts as having accepted it.

        Args:
            service: The name of the service.
            record: The service's record.
            era: The era of the store that has the record.
        """
        key_map = self._key_maps.get(service)
        if key_map is not None and record.epoch < key_map.version[0]:
            return
        if key_map is not None and record.era < era:
            # It is from a copy of the store, and older than the known owners.
            return
        serial = (
            key_map.version[1] if key_map and key_map.version[0] == record.epoch else 0
        )
        owners = tuple(
            KeyOwner(
                segment.owner.name,
                segment.owner.incarnation,
                not segment.previous_owners,
                now(),
            )
            for segment in record.segments
        )
        lasts = tuple(segment.last for segment in record.segments)
        self._replace(service, _ServiceKeyMap((record.epoch, serial), lasts, owners))

    def _replace(self, service: str, key_map: _ServiceKeyMap) -> None:
        previous = self._key_maps.get(service)
        self._key_maps[service] = key_map
        if previous is not None and (previous.lasts, previous.owners) == (
            key_map.lasts,
            key_map.owners,
        ):
            return
        if self._changed is not None and not self._changed.done():
            self._changed.set_result(None)

    def dump(self) -> dict[str, object]:
        """Return the key maps for the state dump."""
        return {
            name: {
                "epoch": key_map.version[0],
                "serial": key_map.version[1],
                "segments": len(key_map.lasts),
                "not_ready": sum(not owner.has_accepted for owner in key_map.owners),
            }
            for name, key_map in self._key_maps.items()
        }
