"""The time until which a leader may act."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.ownership._majority import majority_size

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamway.slices import Witness


class Authority:
    """A leader's lease, backed by promises of a majority of its witnesses.

    The authority is valid while a strict majority of each roster has a promise
    running. It must be extended before it expires: once it has expired, it
    never becomes valid again. A promise counts from when it was requested.

    Args:
        roster: The witnesses that the shard's record names.
    """

    def __init__(self, roster: tuple[Witness, ...]) -> None:
        self._rosters = frozenset({roster})
        self._promise_expiries: dict[Witness, float] = {}
        self._established = False
        self._ended = False

    @property
    def rosters(self) -> frozenset[tuple[Witness, ...]]:
        """The rosters of which each must have a majority that promises."""
        return self._rosters

    @property
    def witnesses(self) -> frozenset[Witness]:
        """The witnesses of all rosters."""
        return frozenset(witness for roster in self._rosters for witness in roster)

    @property
    def valid_until(self) -> float:
        """The event loop time at which the authority expires."""
        return min(self._expiry_of(roster) for roster in self._rosters)

    @property
    def is_valid(self) -> bool:
        """Whether the leader may act now."""
        self._check_expiry()
        return self._established and not self._ended

    @property
    def has_ended(self) -> bool:
        """Whether the authority has expired or was given up, for good."""
        self._check_expiry()
        return self._ended

    def extend(self, witness: Witness, until: float) -> None:
        """Record a promise.

        Args:
            witness: The witness that gave the promise.
            until: The event loop time at which the promise expires: the time
                of the request plus the promise's duration.
        """
        self._check_expiry()
        self._promise_expiries[witness] = max(
            until, self._promise_expiries.get(witness, 0.0)
        )
        if self.valid_until > now():
            self._established = True

    def promise_expires_at(self, witness: Witness) -> float:
        """Return when the last promise of a witness expires.

        Args:
            witness: The witness.

        Returns:
            The event loop time of this host; 0 if it has given no promise.
        """
        return self._promise_expiries.get(witness, 0.0)

    def set_rosters(self, rosters: Iterable[tuple[Witness, ...]]) -> None:
        """Replace the rosters of which each must have a majority.

        Args:
            rosters: Every roster that the store may hold now.
        """
        self._check_expiry()
        self._rosters = frozenset(rosters)
        self._check_expiry()

    def end(self) -> None:
        """Give up the authority."""
        self._ended = True

    def _check_expiry(self) -> None:
        if self._established and now() >= self.valid_until:
            self._ended = True

    def _expiry_of(self, roster: tuple[Witness, ...]) -> float:
        expiries = sorted(
            (self.promise_expires_at(witness) for witness in roster), reverse=True
        )
        return expiries[majority_size(len(roster)) - 1]
