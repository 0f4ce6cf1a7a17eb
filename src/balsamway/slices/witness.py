"""An entry host that takes part in electing the leader of a shard."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Witness:
    """One incarnation of an entry host's daemon, named in a shard's record.

    A leader has authority while a majority of the witnesses in the record
    have given it their promise to support no other leader.
    """

    host: str
    incarnation: int
    """Drawn at random at each start of the daemon, so that a restarted daemon
    counts as another witness."""
