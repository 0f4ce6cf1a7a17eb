"""Creation of the grant renewers of a shard's targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.ownership.grant_keeper import GrantKeeper

if TYPE_CHECKING:
    from collections.abc import Mapping

    from balsamway.ownership.messages import TargetLapse
    from balsamway.ownership.shard_context import ShardContext
    from balsamway.store import Host


class GrantKeepers:
    """Adds a renewer for each target that is listed or named in the record.

    Args:
        context: The leader's components; new renewers are added to it.
        previous_grants_expire_at: The event loop time at which every grant of
            previous leaders expires.
    """

    def __init__(self, context: ShardContext, previous_grants_expire_at: float) -> None:
        self._context = context
        self._previous_grants_expire_at = previous_grants_expire_at
        self._expiries: Mapping[str, TargetLapse] = {}

    def apply_previous_grants(self, expiries: Mapping[str, TargetLapse]) -> None:
        """Apply what the previous leader reported of the targets.

        Args:
            expiries: When the grants of each target expire, by its name.
        """
        self._expiries = expiries

    def add_missing(self) -> list[GrantKeeper]:
        """Add renewers for new targets and update the targets of the others.

        Returns:
            The renewers that were added.
        """
        keepers = self._context.keepers
        added = []
        for target in self._known_targets():
            if target.name in keepers:
                keepers[target.name].target = target
                continue
            keeper = keepers[target.name] = self._new_renewer(target)
            added.append(keeper)
        return added

    def _new_renewer(self, target: Host) -> GrantKeeper:
        expiry = self._expiries.get(target.name)
        grants_expire_at = self._previous_grants_expire_at
        if expiry is not None:
            grants_expire_at = min(grants_expire_at, now() + expiry.seconds)
        keeper = GrantKeeper(
            self._context.cluster,
            self._context.state,
            self._context.authority,
            target,
            grants_expire_at,
            self._context.views.refresh,
        )
        if expiry is not None:
            keeper.enforces_epochs = expiry.checks
        return keeper

    def _known_targets(self) -> list[Host]:
        directory = self._context.cluster.directory
        record = self._context.state.record
        shard = record.shard
        targets = {
            host.name: host
            for host in directory.targets(shard.workspace, shard.service)
        }
        for entry in record.slices:
            for name in (entry.owner, entry.standby, entry.moving_to):
                if name and name not in targets:
                    host = directory.target(name)
                    if host is not None:
                        targets[name] = host
        return list(targets.values())
