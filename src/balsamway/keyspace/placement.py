"""Decides which keys move to which targets.

It answers a load in which some keys are far busier than others, the busy
ones lie close together, and which they are changes within seconds.
"""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

from balsamway.keyspace._piece import Piece
from balsamway.keyspace.key_record import KEY_COUNT
from balsamway.keyspace.load_aggregator import RATE_SECONDS

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from balsamway.keyspace.holder import Holder
    from balsamway.keyspace.placed_target import PlacedTarget
    from balsamway.keyspace.segment import Segment

PRIOR_PER_SECOND = 5.0
"""A load that is spread evenly over all keys beside what is measured, so
that keys without requests are spread as well."""
PRIOR_SHARE = 0.1
SLACK_SHARE = 0.25
"""How far a target may be from its share before keys move."""
NOISE_DEVIATIONS = 2.0
LEAST_MOVE_SHARE = 0.04
"""Moves that bring less than this of a mean share are left out."""
MOVES_AT_MOST = 16
"""Ranges moved at a time."""
FIRST_SHARE = 0.25
"""What a target that holds nothing gets at first, of a mean share, and about
what each gets of the keys of one that left."""
HOT_SHARE = 0.3
"""A key with this part of a mean share is placed on its own."""
FASTER = 1.5
"""A hot key changes to a target that is faster by this factor."""
SEGMENTS_AT_MOST = 400
"""Above this number nothing is split any more."""


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
        is_last = place == len(targets) - 1
        last = KEY_COUNT - 1 if is_last else int(KEY_COUNT * reached / total) - 1
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
        rate_seconds: float = RATE_SECONDS,
    ) -> None:
        """Takes in the state to plan for.

        Args:
            segments: The segments in force.
            rates: The requests a second for each key that has any.
            targets: The targets that may hold keys.
            rate_seconds: The time over which the rates were counted, for the
                size of their noise.
        """
        self._rate_seconds = rate_seconds
        self._targets = {one.holder: one for one in targets}
        total = sum(rates.values())
        prior = max(PRIOR_PER_SECOND, PRIOR_SHARE * total)
        self._per_key = prior / KEY_COUNT
        self._total = total + prior
        self._pieces: dict[Holder, list[Piece]] = defaultdict(list)
        self._loads: dict[Holder, float] = defaultdict(float)
        keys = sorted(rates)
        at = 0
        self._homeless: list[Piece] = []
        for segment in segments:
            begin = at
            while at < len(keys) and keys[at] <= segment.last:
                at += 1
            busy = [(key, rates[key]) for key in keys[begin:at]]
            piece = Piece(segment.first, segment.last, busy, self._per_key)
            if segment.holder not in self._targets:
                self._homeless.append(piece)
                continue
            for part in piece.isolate(HOT_SHARE * self._total / len(targets)):
                part.is_settled = not segment.previous
                self._add(segment.holder, part)
        self._count = len(segments)
        self._moves: dict[tuple[int, int], Holder] = {}
        self._reserved: dict[Holder, float] = {}
        """The load of each target that serves one hot key only."""

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
        if balances:
            self._reserve()
        while balances and len(self._moves) < MOVES_AT_MOST and self._balance():
            pass
        return self._moves

    def _reserve(self) -> None:
        """Gives keys that fill a target one that serves nothing else."""
        hot = [
            (piece, holder)
            for holder, pieces in self._pieces.items()
            for piece in pieces
            if piece.first == piece.last and piece.is_settled
        ]
        for piece, holder in sorted(hot, key=lambda one: -one[0].load):
            free = [one for one in self._targets if one not in self._reserved]
            if len(free) < 2 or len(self._reserved) >= len(self._targets) // 2:
                return
            fastest = max(free, key=lambda one: self._targets[one].speed)
            if piece.load < self._wanted(fastest):
                continue
            home = holder if holder in free else fastest
            if self._targets[fastest].speed > FASTER * self._targets[home].speed:
                home = fastest
            self._reserved[home] = piece.load
            if home != holder:
                self._pieces[holder].remove(piece)
                self._move(piece, holder, home)
            else:
                piece.is_settled = False

    def _move(self, piece: Piece, giver: Holder, taker: Holder) -> None:
        self._moves[(piece.first, piece.last)] = taker
        self._loads[giver] -= piece.load
        self._loads[taker] += piece.load

    def _wanted(self, holder: Holder) -> float:
        if holder in self._reserved:
            return self._reserved[holder]
        speeds = sum(
            one.speed
            for one in self._targets.values()
            if one.holder not in self._reserved
        )
        rest = self._total - sum(self._reserved.values())
        return max(0.0, rest) * self._targets[holder].speed / speeds

    def _surplus(self, holder: Holder) -> float:
        return self._loads[holder] - self._wanted(holder)

    def _slack(self, holder: Holder) -> float:
        if holder in self._reserved:
            return LEAST_MOVE_SHARE * self._total / len(self._targets)
        wanted = self._wanted(holder)
        noise = NOISE_DEVIATIONS * math.sqrt(max(wanted, 1.0) / self._rate_seconds)
        return SLACK_SHARE * wanted + noise

    def _add(self, holder: Holder, piece: Piece) -> None:
        self._pieces[holder].append(piece)
        self._loads[holder] += piece.load

    def _house(self, piece: Piece) -> None:
        """Gives away keys whose holder must not keep them."""
        rest: Piece | None = piece
        while rest is not None:
            taker = min(self._targets, key=self._surplus)
            room = -self._surplus(taker)
            mean = self._total / len(self._targets)
            if rest.load > room + FIRST_SHARE * mean and self._may_split():
                part, rest = rest.cut(max(room, FIRST_SHARE * mean))
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
        is_idle = not self._loads[taker]
        is_even = surplus < self._slack(giver) and deficit < self._slack(taker)
        if is_even and not is_idle:
            return False
        amount = min(surplus, deficit)
        mean = self._total / len(self._targets)
        if is_idle:
            amount = max(amount, min(deficit, FIRST_SHARE * mean))
        if amount < LEAST_MOVE_SHARE * mean:
            return False
        part = self._take(giver, amount)
        if part is None:
            return False
        self._move(part, giver, taker)
        return True

    def _take(self, giver: Holder, amount: float) -> Piece | None:
        """Takes about that much load from a target."""
        pieces = [one for one in self._pieces[giver] if one.is_settled]
        whole = [one for one in pieces if 0.6 * amount <= one.load <= 1.1 * amount]
        if whole:
            found = max(whole, key=lambda one: one.density)
            self._pieces[giver].remove(found)
            return found
        larger = [one for one in pieces if one.load > amount and one.first < one.last]
        if larger and self._may_split():
            found = max(larger, key=lambda one: one.density)
            part, rest = found.cut_densest(amount)
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
