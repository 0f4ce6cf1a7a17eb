from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.matrix.cell import Cell

MAX_OUTAGE_SECONDS = 5.0
"""The longest that a key may be unavailable after a loss."""
FIRST_CLAIM = "first-claim"
LEADER_CLAIM = "claim"


def max_unavailable_seconds(cell: Cell) -> float:
    """Return for how many seconds a key may be unavailable in a cell.

    After a single fault, keys are served again within `MAX_OUTAGE_SECONDS`.
    In these cases the time counts from the end of the fault instead:

    - The store and the leader fail together. A new leader needs the store.
    - The deployment is starting, so no key has an owner yet.
    - The leader is lost and a zone of two entry hosts is partitioned. Three of
      the five witnesses are then unavailable.
    - A second fault follows the first. The time counts from the end of the
      later one.
    """
    faults = [fault for fault in (cell.fault, cell.second) if fault is not None]
    heal_seconds = max(fault.heal_seconds for fault in faults)
    blocks_store = any(fault.blocks_store for fault in faults)
    disables_leader = any(fault.disables_source for fault in faults)
    leaderless = disables_leader or cell.step.procedure in (FIRST_CLAIM, LEADER_CLAIM)
    if cell.second is not None or cell.step.procedure == FIRST_CLAIM:
        return heal_seconds + MAX_OUTAGE_SECONDS
    if blocks_store and leaderless:
        return heal_seconds + MAX_OUTAGE_SECONDS
    if cell.step.procedure == LEADER_CLAIM and cell.fault.partitions_zone:
        return heal_seconds + MAX_OUTAGE_SECONDS
    return MAX_OUTAGE_SECONDS
