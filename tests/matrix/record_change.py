from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.slices.record_codec import decode_record
from balsamway.store import StoredObject

if TYPE_CHECKING:
    from balsamway.slices import ShardRecord
    from tests.fakes.step import Step
    from tests.matrix.matrix_deployment import MatrixDeployment


def record_change(deployment: MatrixDeployment, step: Step) -> str:
    """Return the name of the change that a write makes to a shard's record."""
    if (step.interface, step.operation) != ("store", "write"):
        return ""
    if not step.subject.startswith("shards/"):
        return ""
    found = deployment.store.current(step.subject)
    if not isinstance(found, StoredObject):
        return "create"
    return _difference(decode_record(found.body), decode_record(step.detail))


def _difference(old: ShardRecord, new: ShardRecord) -> str:
    if new.leader_epoch > old.leader_epoch:
        return "claim"
    if new.roster != old.roster:
        return "roster"
    old_by_range = {slice_entry.range: slice_entry for slice_entry in old.slices}
    for entry in new.slices:
        old_slice = old_by_range.get(entry.range)
        if old_slice is None:
            return "reshape"
        if old_slice.owner != entry.owner:
            moved = old_slice.moving_to == entry.owner
            return "commit" if moved else "activate"
    moving = [slice_entry for slice_entry in new.slices if slice_entry.moving_to]
    if any(
        old_by_range[slice_entry.range].moving_to != slice_entry.moving_to
        for slice_entry in moving
    ):
        return "intent"
    return "other"
