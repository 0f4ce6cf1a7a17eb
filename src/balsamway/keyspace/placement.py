"""Decides which keys move to which targets.

It answers a load in which some keys are far busier than others, the busy
ones lie close together, and which they are changes within seconds.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from balsamway.keyspace.holder import Holder
    from balsamway.keyspace.segment import Segment

PRIOR_PER_SECOND = 5.0
"""A load that is spread evenly over all keys beside what is measured, so
that keys without requests are spread as well."""
PRIOR_SHARE = 0.1
SLACK_SHARE = 0.2
"""How far a target may be from its share before keys move."""
NOISE_SECONDS = 1.2
"""The span over which rates are measured, for the size of their noise."""
NOISE_DEVIATIONS = 1.5
LEAST_MOVE_SHARE = 0.04
"""Moves that bring less than this of a mean share are left out."""
MOVES_AT_MOST = 16
"""Ranges moved at a time."""
SEGMENTS_AT_MOST = 400
"""Above this number nothing is split any more."""
KEYS = 65_536


@dataclass(frozen=True, slots=True)
class PlacedTarget:
    """A target that may hold keys."""

    holder: Holder
    speed: float
    """How many requests a second it can serve, relative to the others."""


def even_split(targets: Sequence[PlacedTarget]) -> list[tuple[int, int, Holder]]:
    """Splits all keys over targets before anything is known of the load.

    Args:
        targets: The targets, at least one.

    Returns:
        The first key, the last key and the holder of each part.
    """
    total = sum(one.speed for one in targets)
    parts: list[tuple[int, int, Holder]] = []
    first = 0
    reached = 0.0
    for place, one in enumerate(targets):
        reached += one.speed
        last = KEYS - 1 if place == len(targets) - 1 else int(KEYS * reached / total)
        if last >= first:
            parts.append((first, last, one.holder))
            first = last + 1
    return parts


class Placement:
    """Plans moves for one service from its segments and key rates."""

    def __init__(
        self,
        segments: Sequence[Segment],
        rates: Mapping[int, float],
        targets: Sequence[PlacedTarget],
    ) -> None:
        """Takes in the state to plan for.

        Args:
            segments: The segments in force.
            rates: The requests a second for each key that has any.
            targets: The targets that may hold keys.
        """
        self._targets = {one.holder: one for one in targets}
        total = sum(rates.values())
        prior = max(PRIOR_PER_SECOND, PRIOR_SHARE * total)
        self._per_key = prior / KEYS
        self._total = total + prior
        self._pieces: dict[Holder, list[_Piece]] = defaultdict(list)
        self._loads: dict[Holder, float] = defaultdict(float)
        keys = sorted(rates)
        at = 0
        self._homeless: list[_Piece] = []
        for segment in segments:
            begin = at
            while at < len(keys) and keys[at] <= segment.last:
                at += 1
            busy = [(key, rates[key]) for key in keys[begin:at]]
            piece = _Piece(segment.first, segment.last, busy, self._per_key)
            piece.is_settled = not segment.previous
            if segment.holder in self._targets:
                self._add(segment.holder, piece)
            else:
                self._homeless.append(piece)
        self._count = len(segments)
        self._moves: dict[tuple[int, int], Holder] = {}

    def plan(self, balances: bool = True) -> dict[tuple[int, int], Holder]:
        """Plans the moves that are worth making now.

        Args:
            balances: Whether to move keys from holders that may keep them.

        Returns:
            The new holder of each range to move.
        """
        if not self._targets:
            return {}
        for piece in sorted(self._homeless, key=lambda one: -one.load):
            self._house(piece)
        while balances and len(self._moves) < MOVES_AT_MOST and self._balance():
            pass
        return self._moves

    def _wanted(self, holder: Holder) -> float:
        speeds = sum(one.speed for one in self._targets.values())
        return self._total * self._targets[holder].speed / speeds

    def _surplus(self, holder: Holder) -> float:
        return self._loads[holder] - self._wanted(holder)

    def _slack(self, holder: Holder) -> float:
        wanted = self._wanted(holder)
        noise = NOISE_DEVIATIONS * math.sqrt(max(wanted, 1.0) / NOISE_SECONDS)
        return SLACK_SHARE * wanted + noise

    def _add(self, holder: Holder, piece: _Piece) -> None:
        self._pieces[holder].append(piece)
        self._loads[holder] += piece.load

    def _house(self, piece: _Piece) -> None:
        """Gives away keys whose holder must not keep them."""
        rest: _Piece | None = piece
        while rest is not None:
            taker = min(self._targets, key=self._surplus)
            room = -self._surplus(taker)
            mean = self._total / len(self._targets)
            if rest.load > room + 0.5 * mean and self._may_split():
                part, rest = rest.cut(max(room, 0.25 * mean))
            else:
                part, rest = rest, None
            self._moves[(part.first, part.last)] = taker
            self._loads[taker] += part.load

    def _may_split(self) -> bool:
        self._count += 1
        return self._count <= SEGMENTS_AT_MOST

    def _balance(self) -> bool:
        """Moves one range, if that is worth it."""
        giver = max(self._targets, key=self._surplus)
        taker = min(self._targets, key=self._surplus)
        surplus, deficit = self._surplus(giver), -self._surplus(taker)
        if surplus < self._slack(giver) and deficit < self._slack(taker):
            return False
        amount = min(surplus, deficit)
        mean = self._total / len(self._targets)
        if amount < LEAST_MOVE_SHARE * mean:
            return False
        part = self._take(giver, amount)
        if part is None:
            return False
        self._moves[(part.first, part.last)] = taker
        self._loads[giver] -= part.load
        self._loads[taker] += part.load
        return True

    def _take(self, giver: Holder, amount: float) -> _Piece | None:
        """Takes about that much load from a target."""
        pieces = [one for one in self._pieces[giver] if one.is_settled]
        whole = [one for one in pieces if 0.6 * amount <= one.load <= 1.1 * amount]
        if whole:
            found = max(whole, key=lambda one: one.load)
            self._pieces[giver].remove(found)
            return found
        larger = [one for one in pieces if one.load > amount and one.first < one.last]
        if larger and self._may_split():
            found = max(larger, key=lambda one: one.load)
            part, rest = found.cut(amount)
            if rest is None or part.load > 1.5 * amount:
                return None
            self._pieces[giver].remove(found)
            self._pieces[giver].append(rest)
            return part
        smaller = [one for one in pieces if one.load <= amount]
        if not smaller:
            return None
        found = max(smaller, key=lambda one: one.load)
        if found.load < 0.25 * amount:
            return None
        self._pieces[giver].remove(found)
        return found


class _Piece:
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

    def cut(self, amount: float) -> tuple[_Piece, _Piece | None]:
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
            _Piece(self.first, border, left, self._per_key),
            _Piece(border + 1, self.last, self._busy[len(left) :], self._per_key),
        )


def _sum(busy: Iterable[tuple[int, float]]) -> float:
    return sum(rate for _, rate in busy)
