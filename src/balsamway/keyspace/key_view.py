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
class _ServiceView:
    """The key map of one service."""

    order: tuple[int, int]
    lasts: tuple[int, ...]
    owners: tuple[KeyOwner, ...]


class KeyView:
    """Looks up the owners of keys; implements `KeyOwners`."""

    def __init__(self) -> None:
        self._views: dict[str, _ServiceView] = {}
        self._changed: asyncio.Future[None] | None = None
        self._leader_seen_at = float("-inf")

    @property
    def is_stale(self) -> bool:
        """Whether the leader's last message is too old to rely on."""
        return now() - self._leader_seen_at > LEADER_TIMEOUT_SECONDS

    def seen(self) -> dict[str, tuple[int, int]]:
        """Return the epoch and serial of each service's key map."""
        return {name: view.order for name, view in self._views.items()}

    def owner(self, service: str, key: int) -> KeyOwner | None:
        """Return the owner of a key; see `KeyOwners`."""
        view = self._views.get(service)
        if view is None or not view.lasts:
            return None
        return view.owners[bisect.bisect_left(view.lasts, key)]

    def changed(self) -> asyncio.Future[None]:
        """Return a future that completes at the next change of any owner."""
        if self._changed is None or self._changed.done():
            self._changed = asyncio.get_running_loop().create_future()
        return self._changed

    def on_leader_heard(self) -> None:
        """Record that the leader is alive though nothing changed."""
        self._leader_seen_at = now()

    def on_notice(self, notice: KeyMapNotice) -> None:
        """Adopt the leader's key map of a service, unless it is older.

        Args:
            notice: The leader's notice.
        """
        order = (notice.epoch, notice.serial)
        view = self._views.get(notice.service)
        if view is not None and order <= view.order:
            if notice.epoch == view.order[0]:
                self._leader_seen_at = now()
            return
        self._leader_seen_at = now()
        owners = tuple(
            KeyOwner(*notice.holders[owner_index], ready, now() + wait_ms / 1000)
            for owner_index, ready, wait_ms in zip(
                notice.places, notice.ready, notice.waits_ms, strict=True
            )
        )
        self._put(notice.service, _ServiceView(order, notice.lasts, owners))

    def on_record(self, service: str, record: KeyRecord) -> None:
        """Adopt a stored record while there are no messages from the leader.

        The record does not say whether an owner has accepted its grant. An
        owner without previous owners counts as having accepted it.

        Args:
            service: The name of the service.
            record: The service's record.
        """
        view = self._views.get(service)
        if view is not None and record.epoch < view.order[0]:
            return
        serial = view.order[1] if view and view.order[0] == record.epoch else 0
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
        self._put(service, _ServiceView((record.epoch, serial), lasts, owners))

    def _put(self, service: str, view: _ServiceView) -> None:
        before = self._views.get(service)
        self._views[service] = view
        if before is not None and (before.lasts, before.owners) == (
            view.lasts,
            view.owners,
        ):
            return
        if self._changed is not None and not self._changed.done():
            self._changed.set_result(None)

    def dump(self) -> dict[str, object]:
        """Return the key maps for the state dump."""
        return {
            name: {
                "epoch": view.order[0],
                "serial": view.order[1],
                "segments": len(view.lasts),
                "not_ready": sum(not owner.is_ready for owner in view.owners),
            }
            for name, view in self._views.items()
        }
