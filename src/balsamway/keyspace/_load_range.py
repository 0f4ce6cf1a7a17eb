"""A range of keys with its load, which placement can split."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence


class LoadRange:
    """A contiguous range of keys and the load on it.

    The load is the measured request rate of single keys plus a small prior
    load that is the same for every key.
    """

    def __init__(
        self,
        first: int,
        last: int,
        key_rates: Sequence[tuple[int, float]],
        prior_per_key: float,
    ) -> None:
        """Create a range.

        Args:
            first: The first key.
            last: The last key, included.
            key_rates: The requests per second of each key that has any, in
                the order of keys.
            prior_per_key: The prior load of every key, in requests per
                second.
        """
        self.first = first
        self.last = last
        self.is_settled = True
        """Whether the range may be moved."""
        self._key_rates = key_rates
        self._prior_per_key = prior_per_key
        self.load = _sum(key_rates) + prior_per_key * (last - first + 1)
        """The load, in requests per second."""

    @property
    def density(self) -> float:
        """The load per key, in requests per second."""
        return self.load / (self.last - self.first + 1)

    def split_densest(self, amount: float) -> tuple[LoadRange, LoadRange | None]:
        """Split about an amount of load off the end with the denser load.

        Args:
            amount: The wanted load, in requests per second.

        Returns:
            The part with about that load, and the rest if there is any.
        """
        head, rest = self.split(amount)
        front, tail = self.split(self.load - amount)
        if tail is None or rest is None:
            return head, rest
        return (head, rest) if head.density >= tail.density else (tail, front)

    def split_out_busy(self, rate: float) -> list[LoadRange]:
        """Split out each key that reaches a request rate.

        Args:
            rate: The least rate of a key to split out, in requests per
                second.

        Returns:
            The parts in the order of keys, or only this range if it has no
            such key.
        """
        ranges: list[LoadRange] = []
        first, start = self.first, 0
        for index, (key, key_rate) in enumerate(self._key_rates):
            if key_rate < rate:
                continue
            if first < key:
                before = self._key_rates[start:index]
                ranges.append(LoadRange(first, key - 1, before, self._prior_per_key))
            ranges.append(LoadRange(key, key, [(key, key_rate)], self._prior_per_key))
            first, start = key + 1, index + 1
        if not ranges:
            return [self]
        if first <= self.last:
            ranges.append(
                LoadRange(
                    first, self.last, self._key_rates[start:], self._prior_per_key
                )
            )
        return ranges

    def split(self, amount: float) -> tuple[LoadRange, LoadRange | None]:
        """Split off the first keys that carry about an amount of load.

        Args:
            amount: The wanted load, in requests per second.

        Returns:
            The first keys, and the rest if there is any.
        """
        reached = 0.0
        before = self.first
        split_key = None
        for key, rate in self._key_rates:
            gap = (key - before) * self._prior_per_key
            if reached + gap >= amount:
                split_key = before + max(
                    0, int((amount - reached) / self._prior_per_key)
                )
                break
            reached += gap + rate
            before = key
            if reached >= amount:
                split_key = key
                break
        if split_key is None:
            split_key = before + int((amount - reached) / self._prior_per_key)
        split_key = min(max(split_key, self.first), self.last)
        if split_key == self.last:
            return self, None
        left = [entry for entry in self._key_rates if entry[0] <= split_key]
        return (
            LoadRange(self.first, split_key, left, self._prior_per_key),
            LoadRange(
                split_key + 1,
                self.last,
                self._key_rates[len(left) :],
                self._prior_per_key,
            ),
        )


def _sum(key_rates: Iterable[tuple[int, float]]) -> float:
    return sum(rate for _, rate in key_rates)
