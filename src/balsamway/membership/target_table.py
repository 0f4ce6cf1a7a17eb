"""The targets that the host list names, and what they said themselves."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from balsamway.store.host import HostState

if TYPE_CHECKING:
    from balsamway.store.host import Host

KEPT_AFTER_DEPARTURE_SECONDS = 120.0
LEAVING_MARK_SECONDS = 3.0


class TargetTable:
    """Finds targets by name and by service."""

    def __init__(self) -> None:
        self._listed: dict[str, Host] = {}
        self._by_service: dict[tuple[str, str], tuple[Host, ...]] = {}
        self._departed: dict[str, tuple[Host, float]] = {}
        self._seen_leaving: dict[str, float] = {}
        self._heard_leaving: dict[str, float] = {}

    def seen_leaving(self, now: float) -> tuple[str, ...]:
        """Lists the targets that told this host lately that they leave.

        Args:
            now: The runtime's clock, in seconds.

        Returns:
            Their names, in order.
        """
        recent = now - LEAVING_MARK_SECONDS
        return tuple(
            name for name, at in sorted(self._seen_leaving.items()) if at > recent
        )

    def adopt(self, targets: tuple[Host, ...], now: float) -> None:
        """Takes over a newer list.

        Args:
            targets: Every target listed.
            now: The runtime's clock, in seconds.
        """
        listed = {target.name: target for target in targets}
        for name, target in self._listed.items():
            if name not in listed:
                self._departed[name] = (target, now)
        self._listed = listed
        self._by_service = _by_service(targets)
        self._forget(now)

    def mark_leaving(self, name: str, now: float) -> None:
        """Records that a target told this host that it is leaving.

        The mark lapses unless it is renewed, so that a target which comes
        back under its name gets work again.

        Args:
            name: The target's name.
            now: The runtime's clock, in seconds.
        """
        self._seen_leaving[name] = now

    def hear_leaving(self, name: str, now: float) -> None:
        """Records that a target told a peer that it is leaving.

        Args:
            name: The target's name.
            now: The runtime's clock, in seconds.
        """
        self._heard_leaving[name] = now

    def of_service(self, workspace: str, service: str, now: float) -> tuple[Host, ...]:
        """Lists the targets of a service, in the order of their names."""
        found = self._by_service.get((workspace, service), ())
        if not self._seen_leaving and not self._heard_leaving:
            return found
        return tuple(self._with_state(target, now) for target in found)

    def all(self, now: float) -> tuple[Host, ...]:
        """Lists every target, in the order of their names."""
        return tuple(
            self._with_state(target, now) for _, target in sorted(self._listed.items())
        )

    def find(self, name: str, now: float) -> Host | None:
        """Finds a target, also one that left the list lately."""
        if (target := self._listed.get(name)) is not None:
            return self._with_state(target, now)
        departed = self._departed.get(name)
        return departed[0] if departed is not None else None

    def dump(self, now: float) -> dict[str, object]:
        """Describes the targets for the state dump."""
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
        recent = now - LEAVING_MARK_SECONDS
        seen_at = self._seen_leaving.get(target.name, recent)
        heard_at = self._heard_leaving.get(target.name, recent)
        if max(seen_at, heard_at) <= recent:
            return target
        return dataclasses.replace(target, state=HostState.LEAVING)

    def _forget(self, now: float) -> None:
        for name, (_, left_at) in list(self._departed.items()):
            if name in self._listed or now - left_at > KEPT_AFTER_DEPARTURE_SECONDS:
                del self._departed[name]
        for marks in (self._seen_leaving, self._heard_leaving):
            for name, at in list(marks.items()):
                if now - at > LEAVING_MARK_SECONDS:
                    del marks[name]


def _by_service(targets: tuple[Host, ...]) -> dict[tuple[str, str], tuple[Host, ...]]:
    found: dict[tuple[str, str], list[Host]] = {}
    for target in sorted(targets, key=lambda one: one.name):
        found.setdefault((target.workspace, target.service), []).append(target)
    return {service: tuple(hosts) for service, hosts in found.items()}
