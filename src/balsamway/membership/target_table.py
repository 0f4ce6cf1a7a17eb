"""The targets of the host list, with their own reports of draining."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from balsamway.store.host import HostState

if TYPE_CHECKING:
    from balsamway.store.host import Host

REMOVED_TARGET_RETENTION_SECONDS = 120.0
"""The time for which a target can still be found by name after it was removed
from the host list."""
DRAINING_MARK_SECONDS = 3.0
"""The time for which a target counts as draining after its last report."""


class TargetTable:
    """Find targets by name and by service.

    A target whose recent report says that it is draining has the state
    `LEAVING`, whatever the host list says.
    """

    def __init__(self) -> None:
        self._listed: dict[str, Host] = {}
        self._by_service: dict[tuple[str, str], tuple[Host, ...]] = {}
        self._removed: dict[str, tuple[Host, float]] = {}
        """Targets that were removed from the host list, and the event loop
        time of the removal, by name."""
        self._own_marks: dict[str, float] = {}
        """The event loop time of the last report to this host, by name."""
        self._peer_marks: dict[str, float] = {}
        """The event loop time of the last report to a peer, by name."""

    def recently_marked_draining(self, now: float) -> tuple[str, ...]:
        """Return the targets that recently told this host that they drain.

        Args:
            now: The event loop time, in seconds.

        Returns:
            The names of the targets, sorted.
        """
        expired_at = now - DRAINING_MARK_SECONDS
        return tuple(
            name
            for name, marked_at in sorted(self._own_marks.items())
            if marked_at > expired_at
        )

    def replace_listed(self, targets: tuple[Host, ...], now: float) -> None:
        """Replace the targets by those of a newer host list.

        Args:
            targets: All targets of the list.
            now: The event loop time, in seconds.
        """
        listed = {target.name: target for target in targets}
        for name, target in self._listed.items():
            if name not in listed:
                self._removed[name] = (target, now)
        self._listed = listed
        self._by_service = _group_by_service(targets)
        self._remove_expired(now)

    def mark_draining(self, name: str, now: float) -> None:
        """Record that a target told this host that it is draining.

        The mark expires unless it is renewed, so that a target that restarts
        under the same name gets requests again.

        Args:
            name: The target's name.
            now: The event loop time, in seconds.
        """
        self._own_marks[name] = now

    def mark_draining_by_peer(self, name: str, now: float) -> None:
        """Record that a target told a peer that it is draining.

        Args:
            name: The target's name.
            now: The event loop time, in seconds.
        """
        self._peer_marks[name] = now

    def of_service(self, workspace: str, service: str, now: float) -> tuple[Host, ...]:
        """Return the targets of a service, sorted by name."""
        targets = self._by_service.get((workspace, service), ())
        if not self._own_marks and not self._peer_marks:
            return targets
        return tuple(self._with_state(target, now) for target in targets)

    def all(self, now: float) -> tuple[Host, ...]:
        """Return all targets, sorted by name."""
        return tuple(
            self._with_state(target, now) for _, target in sorted(self._listed.items())
        )

    def find(self, name: str, now: float) -> Host | None:
        """Return a target by name, even if it was removed recently."""
        if (target := self._listed.get(name)) is not None:
            return self._with_state(target, now)
        removed = self._removed.get(name)
        return removed[0] if removed is not None else None

    def dump(self, now: float) -> dict[str, object]:
        """Return the targets for the state dump."""
        return {
            name: {
                "workspace": target.workspace,
                "service": target.service,
                "zone": target.zone,
                "address": target.address,
                "state": str(self._with_state(target, now).state),
            }
            for name, target in sorted(self._listed.items())
        }

    def _with_state(self, target: Host, now: float) -> Host:
        expired_at = now - DRAINING_MARK_SECONDS
        own_mark_at = self._own_marks.get(target.name, expired_at)
        peer_mark_at = self._peer_marks.get(target.name, expired_at)
        if max(own_mark_at, peer_mark_at) <= expired_at:
            return target
        return dataclasses.replace(target, state=HostState.LEAVING)

    def _remove_expired(self, now: float) -> None:
        for name, (_, removed_at) in list(self._removed.items()):
            if (
                name in self._listed
                or now - removed_at > REMOVED_TARGET_RETENTION_SECONDS
            ):
                del self._removed[name]
        for marks in (self._own_marks, self._peer_marks):
            for name, marked_at in list(marks.items()):
                if now - marked_at > DRAINING_MARK_SECONDS:
                    del marks[name]


def _group_by_service(
    targets: tuple[Host, ...],
) -> dict[tuple[str, str], tuple[Host, ...]]:
    by_service: dict[tuple[str, str], list[Host]] = {}
    for target in sorted(targets, key=lambda target: target.name):
        by_service.setdefault((target.workspace, target.service), []).append(target)
    return {service: tuple(hosts) for service, hosts in by_service.items()}
