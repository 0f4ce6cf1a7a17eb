from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.slices.record_codec import decode_record
from balsamway.store import StoredObject

if TYPE_CHECKING:
    from balsamway.slices import ShardRecord
    from tests.fakes.step import Step
    from tests.matrix.world import World


def record_change(world: World, step: Step) -> str:
    """Names what a write of a shard's record changes."""
    if (step.interface, step.operation) != ("store", "write"):
        return ""
    if not step.subject.startswith("shards/"):
        return ""
    found = world.store.current(step.subject)
    if not isinstance(found, StoredObject):
        return "create"
    return _difference(decode_record(found.body), decode_record(step.detail))


def _difference(old: ShardRecord, new: ShardRecord) -> str:
    if new.leader_epoch > old.leader_epoch:
        return "claim"
    if new.roster != old.roster:
        return "roster"
    before = {one.range: one for one in old.slices}
    for entry in new.slices:
        was = before.get(entry.range)
        if was is None:
            return "reshape"
        if was.owner != entry.owner:
            moved = was.moving_to == entry.owner
            return "commit" if moved else "activate"
    moving = [one for one in new.slices if one.moving_to]
    if any(before[one.range].moving_to != one.moving_to for one in moving):
        return "intent"
    return "other"
