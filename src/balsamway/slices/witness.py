"""An entry host whose promise counts towards a leader's authority."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Witness:
    """One run of the daemon of an entry host, named in a shard's record."""

    host: str
    incarnation: int
    """Drawn at each start of the daemon, so that a restart is told apart."""
