"""The time until which a leader may act."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.ownership._majority import majority_of

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamway.slices import Witness


class Authority:
    """Holds while a strict majority of each roster keeps its promise.

    Authority is extended without a gap or not at all: once it has lapsed it
    never holds again. Promises count from when they were asked for.

    Args:
        roster: The witnesses that the shard's record names.
    """

    def __init__(self, roster: tuple[Witness, ...]) -> None:
        self._rosters = frozenset({roster})
        self._ends: dict[Witness, float] = {}
        self._established = False
        self._ended = False

    @property
    def rosters(self) -> frozenset[tuple[Witness, ...]]:
        """The rosters of which each must have a majority that promises."""
        return self._rosters

    @property
    def witnesses(self) -> frozenset[Witness]:
        """The witnesses of all rosters."""
        return frozenset(one for roster in self._rosters for one in roster)

    @property
    def until(self) -> float:
        """The time at which authority lapses unless it is extended."""
        return min(self._end_of(roster) for roster in self._rosters)

    @property
    def holds(self) -> bool:
        """Whether the leader may act now."""
        self._check()
        return self._established and not self._ended

    @property
    def ended(self) -> bool:
        """Whether authority has lapsed, for good."""
        self._check()
        return self._ended

    def extend(self, witness: Witness, until: float) -> None:
        """Records a promise.

        Args:
            witness: The witness that gave it.
            until: The moment of asking and the promise's duration, added.
        """
        self._check()
        self._ends[witness] = max(until, self._ends.get(witness, 0.0))
        if self.until > now():
            self._established = True

    def promise_end(self, witness: Witness) -> float:
        """Tells until when a witness's last promise lasts.

        Args:
            witness: The witness.

        Returns:
            The end by this host's clock; 0 where it has given none.
        """
        return self._ends.get(witness, 0.0)

    def require(self, rosters: Iterable[tuple[Witness, ...]]) -> None:
        """Sets the rosters of which each must have a majority.

        Args:
            rosters: Every roster that the store may hold now.
        """
        self._check()
        self._rosters = frozenset(rosters)
        self._check()

    def end(self) -> None:
        """Gives authority up."""
        self._ended = True

    def _check(self) -> None:
        if self._established and now() >= self.until:
            self._ended = True

    def _end_of(self, roster: tuple[Witness, ...]) -> float:
        ends = sorted((self.promise_end(one) for one in roster), reverse=True)
        return ends[majority_of(len(roster)) - 1]
