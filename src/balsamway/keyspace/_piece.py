"""A range of keys with the load on it, as the planner cuts it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

OVERSIZE = 1.5
"""How much more than was wanted a part may carry."""


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

    def cut_densest(self, amount: float) -> tuple[Piece, list[Piece]]:
        """Cuts out the fewest adjacent keys that carry an amount of load.

        Keys that change hands are slow for a while and are paid for, whether
        they are busy or not.

        Args:
            amount: The load wanted.

        Returns:
            The keys cut out, and what is left before and after them.
        """
        begin, end = self._densest(amount)
        if begin == end:
            part, rest = self.cut(amount)
            return part, [] if rest is None else [rest]
        first, last = self._busy[begin][0], self._busy[end - 1][0]
        rests = []
        if self.first < first:
            before = self._busy[:begin]
            rests.append(Piece(self.first, first - 1, before, self._per_key))
        if last < self.last:
            rests.append(Piece(last + 1, self.last, self._busy[end:], self._per_key))
        return Piece(first, last, self._busy[begin:end], self._per_key), rests

    def _densest(self, amount: float) -> tuple[int, int]:
        """Finds the shortest run of busy keys that carries about a load.

        Returns:
            Its begin and end in the list of busy keys; twice the same place
            where there is none.
        """
        best, shortest = (0, 0), self.last - self.first + 1
        begin = 0
        load = 0.0
        for end, (last, rate) in enumerate(self._busy, 1):
            load += rate
            while begin + 1 < end:
                lighter = load - self._busy[begin][1]
                keys = last - self._busy[begin + 1][0] + 1
                if lighter + self._per_key * keys < amount:
                    break
                load = lighter
                begin += 1
            keys = last - self._busy[begin][0] + 1
            carried = load + self._per_key * keys
            if amount <= carried <= OVERSIZE * amount and keys < shortest:
                best, shortest = (begin, end), keys
        return best

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
