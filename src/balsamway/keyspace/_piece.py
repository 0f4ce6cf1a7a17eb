"""A range of keys with the load on it, as the planner cuts it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence


class Piece:
    """A range of keys with the load on it."""

    def __init__(
        self,
        first: int,
        last: int,
        busy: Sequence[tuple[int, float]],
        per_key: float,
    ) -> None:
        self.first = first
        self.last = last
        self.is_settled = True
        self._busy = busy
        self._per_key = per_key
        self.load = _sum(busy) + per_key * (last - first + 1)

    @property
    def density(self) -> float:
        """The load for each key."""
        return self.load / (self.last - self.first + 1)

    def cut_densest(self, amount: float) -> tuple[Piece, Piece | None]:
        """Cuts about an amount of load off the side with the busier keys.

        Args:
            amount: The load wanted.

        Returns:
            The keys cut off, and the rest if there is any.
        """
        part, rest = self.cut(amount)
        other, last = self.cut(self.load - amount)
        if last is None or rest is None:
            return part, rest
        return (part, rest) if part.density >= last.density else (last, other)

    def isolate(self, rate: float) -> list[Piece]:
        """Cuts out each key that is busier than a rate.

        Args:
            rate: Requests a second.

        Returns:
            The parts in the order of keys; this piece alone if it has no such
            key.
        """
        parts: list[Piece] = []
        first, begin = self.first, 0
        for place, (key, found) in enumerate(self._busy):
            if found < rate:
                continue
            if first < key:
                before = self._busy[begin:place]
                parts.append(Piece(first, key - 1, before, self._per_key))
            parts.append(Piece(key, key, [(key, found)], self._per_key))
            first, begin = key + 1, place + 1
        if not parts:
            return [self]
        if first <= self.last:
            parts.append(Piece(first, self.last, self._busy[begin:], self._per_key))
        return parts

    def cut(self, amount: float) -> tuple[Piece, Piece | None]:
        """Cuts off the first keys that carry about an amount of load.

        Args:
            amount: The load wanted.

        Returns:
            The keys cut off, and the rest if there is any.
        """
        reached = 0.0
        before = self.first
        border = None
        for key, rate in self._busy:
            gap = (key - before) * self._per_key
            if reached + gap >= amount:
                border = before + max(0, int((amount - reached) / self._per_key))
                break
            reached += gap + rate
            before = key
            if reached >= amount:
                border = key
                break
        if border is None:
            border = before + int((amount - reached) / self._per_key)
        border = min(max(border, self.first), self.last)
        if border == self.last:
            return self, None
        left = [one for one in self._busy if one[0] <= border]
        return (
            Piece(self.first, border, left, self._per_key),
            Piece(border + 1, self.last, self._busy[len(left) :], self._per_key),
        )


def _sum(busy: Iterable[tuple[int, float]]) -> float:
    return sum(rate for _, rate in busy)
