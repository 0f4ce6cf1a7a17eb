"""What a gateway knows of the holders of keys."""

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

NOTICE_SECONDS = 1.5
"""A leader that was not heard for this long may be gone, and the stored
record is read instead; notices come five times a second."""


@dataclass(frozen=True, slots=True)
class _ServiceView:
    order: tuple[int, int]
    lasts: tuple[int, ...]
    owners: tuple[KeyOwner, ...]


class KeyMap:
    """Looks up owners; implements `KeyOwners`."""

    def __init__(self) -> None:
        self._views: dict[str, _ServiceView] = {}
        self._changed: asyncio.Future[None] | None = None
        self._noticed_at = float("-inf")

    @property
    def is_stale(self) -> bool:
        """Whether the leader has not been heard lately."""
        return now() - self._noticed_at > NOTICE_SECONDS

    def known_versions(self) -> dict[str, tuple[int, int]]:
        """Gives the epoch and serial of each service's view."""
        return {name: view.order for name, view in self._views.items()}

    def find_owner(self, service: str, key: int) -> KeyOwner | None:
        """Gives the owner of a key; see `KeyOwners`."""
        view = self._views.get(service)
        if view is None or not view.lasts:
            return None
        return view.owners[bisect.bisect_left(view.lasts, key)]

    def next_change(self) -> asyncio.Future[None]:
        """Gives a future that is done at the next change."""
        if self._changed is None or self._changed.done():
            self._changed = asyncio.get_running_loop().create_future()
        return self._changed

    def on_leader_message(self) -> None:
        """Notes that the leader is alive, without a change."""
        self._noticed_at = now()

    def on_notice(self, notice: KeyMapNotice) -> None:
        """Takes over what the leader says, unless it is older.

        Args:
            notice: The leader's notice.
        """
        order = (notice.epoch, notice.serial)
        view = self._views.get(notice.service)
        if view is not None and order <= view.order:
            if notice.epoch == view.order[0]:
                self._noticed_at = now()
            return
        self._noticed_at = now()
        owners = tuple(
            KeyOwner(*notice.holders[place], ready, now() + wait_ms / 1000)
            for place, ready, wait_ms in zip(
                notice.places, notice.ready, notice.waits_ms, strict=True
            )
        )
        self._put(notice.service, _ServiceView(order, notice.lasts, owners))

    def on_record(self, service: str, record: KeyRecord) -> None:
        """Takes over the stored record, where the leader is not heard.

        Args:
            service: The service.
            record: Its record. Whether a holder has accepted its grant is
                not stored, so that it is taken to have.
        """
        view = self._views.get(service)
        if view is not None and record.epoch < view.order[0]:
            return
        serial = view.order[1] if view and view.order[0] == record.epoch else 0
        owners = tuple(
            KeyOwner(one.holder.name, one.holder.incarnation, not one.previous, now())
            for one in record.segments
        )
        lasts = tuple(one.last for one in record.segments)
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
        """Gives the view for the state dump."""
        return {
            name: {
                "epoch": view.order[0],
                "serial": view.order[1],
                "segments": len(view.lasts),
                "not_ready": sum(not one.has_accepted for one in view.owners),
            }
            for name, view in self._views.items()
        }
