from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.matrix.cell import Cell

SERVED_AGAIN_SECONDS = 5.0
"""Within this time of a loss a key is served again."""
FROM_NOTHING = "first-claim"
LEADER_LOST = "claim"


def unavailable_bound(cell: Cell) -> float:
    """Gives the longest that a key may be unavailable in a cell.

    One fault is ridden out within the stated time. A new leader needs the
    store, and a deployment that starts has no owners yet: where the store is
    taken away with the leader, the time counts from the store's return; where
    the leader is lost and a zone of two is cut off, three of five witnesses
    are gone, and it counts from the return of the zone. Where
    a second fault follows the first, it counts from the end of the last.
    """
    faults = [one for one in (cell.fault, cell.second) if one is not None]
    healed = max(one.heal_seconds for one in faults)
    takes_store = any(one.takes_store for one in faults)
    takes_leader = any(one.takes_source for one in faults)
    leaderless = takes_leader or cell.step.procedure in (FROM_NOTHING, LEADER_LOST)
    if cell.second is not None or cell.step.procedure == FROM_NOTHING:
        return healed + SERVED_AGAIN_SECONDS
    if takes_store and leaderless:
        return healed + SERVED_AGAIN_SECONDS
    if cell.step.procedure == LEADER_LOST and cell.fault.takes_zone:
        return healed + SERVED_AGAIN_SECONDS
    return SERVED_AGAIN_SECONDS
