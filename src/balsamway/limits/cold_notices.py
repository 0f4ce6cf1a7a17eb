"""Tells all hosts at once that a target turned cold."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from balsamway.limits.messages import ColdNotice

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from balsamway.forwarding.service_targets import ServiceTargets
    from balsamway.forwarding.target_state import TargetState
    from balsamway.peers.peers import Peers

MAX_LOGGED_TARGETS = 10
"""Bounds the logged names of one notice."""

logger = logging.getLogger(__name__)


class ColdNotices:
    """Passes on what this host learns first, through the leader.

    An entry reaches hosts at different times. The first one that sees a target
    turn cold tells the leader, which tells all hosts within a few ms.
    """

    def __init__(
        self,
        host: str,
        peers: Peers,
        leader_name: Callable[[], str | None],
        hosts: Callable[[], Iterable[str]],
        targets: ServiceTargets,
    ) -> None:
        """Follow the targets and register the handler.

        Args:
            host: The name of this host.
            peers: The connections to the other entry hosts.
            leader_name: Returns the name of the leader, None if none is known.
            hosts: Returns the hosts that the leader knows.
            targets: The targets, with their cold times.
        """
        self._host = host
        self._peers = peers
        self._leader_name = leader_name
        self._hosts = hosts
        self._targets = targets
        targets.on_turned_cold = self._on_turned_cold
        peers.register_handler(ColdNotice, self._on_cold_notice)

    def _on_turned_cold(self, states: Sequence[TargetState]) -> None:
        logger.info(
            "targets-cold",
            extra={
                "targets": [state.entry.name for state in states[:MAX_LOGGED_TARGETS]],
                "count": len(states),
                "longest_seconds": round(
                    max(state.cold.left_seconds for state in states), 3
                ),
            },
        )
        self._publish(states, self._host)

    async def _on_cold_notice(self, sender: str, notice: Any) -> None:
        extended = self._targets.on_cold_report(notice.targets)
        if extended and self._leader_name() == self._host:
            self._publish(extended, sender)

    def _publish(self, states: Sequence[TargetState], source: str) -> None:
        notice = ColdNotice(
            {
                state.entry.name: (
                    state.entry.incarnation,
                    round(1000 * state.cold.left_seconds),
                )
                for state in states
            }
        )
        leader = self._leader_name()
        if leader == self._host:
            receivers = {*self._hosts()} - {self._host, source}
        else:
            receivers = set() if leader is None else {leader}
        for host in sorted(receivers):
            self._peers.send(host, notice)
