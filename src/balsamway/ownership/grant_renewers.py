"""Makes the keepers of a shard's targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.ownership.grant_renewer import GrantRenewer

if TYPE_CHECKING:
    from collections.abc import Mapping

    from balsamway.ownership.messages import TargetLapse
    from balsamway.ownership.shard_context import ShardContext
    from balsamway.store import Host


class GrantRenewers:
    """Adds a keeper for each target that is listed or named in the record.

    Args:
        context: The leader's parts; its keepers are added to.
        earlier_until: When every grant of earlier leaders has run out.
    """

    def __init__(self, context: ShardContext, earlier_until: float) -> None:
        self._context = context
        self._earlier_until = earlier_until
        self._lapses: Mapping[str, TargetLapse] = {}

    def shorten(self, lapses: Mapping[str, TargetLapse]) -> None:
        """Takes over what the leader before knew of the targets.

        Args:
            lapses: When the grants of each target run out, by its name.
        """
        self._lapses = lapses

    def add_missing(self) -> list[GrantRenewer]:
        """Adds the keepers of targets that are new, and updates the others.

        Returns:
            The keepers that were added.
        """
        renewers = self._context.renewers
        added = []
        for target in self._known_targets():
            if target.name in renewers:
                renewers[target.name].target = target
                continue
            renewer = renewers[target.name] = self._new(target)
            added.append(renewer)
        return added

    def _new(self, target: Host) -> GrantRenewer:
        lapse = self._lapses.get(target.name)
        until = self._earlier_until
        if lapse is not None:
            until = min(until, now() + lapse.seconds)
        renewer = GrantRenewer(
            self._context.host_context,
            self._context.state,
            self._context.authority,
            target,
            until,
            self._context.views.refresh,
        )
        if lapse is not None:
            renewer.checks = lapse.checks
        return renewer

    def _known_targets(self) -> list[Host]:
        directory = self._context.host_context.directory
        record = self._context.state.record
        shard = record.shard
        found = {
            one.name: one for one in directory.targets(shard.workspace, shard.service)
        }
        for entry in record.slices:
            for name in (entry.owner, entry.standby, entry.moving_to):
                if name and name not in found:
                    host = directory.target(name)
                    if host is not None:
                        found[name] = host
        return list(found.values())
