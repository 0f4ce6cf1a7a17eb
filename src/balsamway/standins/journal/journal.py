"""All that the stand-ins of a deployment wrote down."""

from __future__ import annotations

from dataclasses import dataclass, fields

from balsamway.standins.journal.assignment_told import AssignmentTold
from balsamway.standins.journal.grant_held import GrantHeld
from balsamway.standins.journal.run import Run
from balsamway.standins.journal.stop_asked import StopAsked
from balsamway.standins.journal.told import Told
from balsamway.standins.journal.version_seen import VersionSeen


@dataclass(frozen=True, slots=True)
class Journal:
    """What happened, as the outside of the system saw it."""

    grants: tuple[GrantHeld, ...] = ()
    runs: tuple[Run, ...] = ()
    told: tuple[Told, ...] = ()
    assignments_told: tuple[AssignmentTold, ...] = ()
    assignments_kept: tuple[AssignmentTold, ...] = ()
    """What the store's records say at the end."""
    assignments_recorded: tuple[AssignmentTold, ...] = ()
    """All that the store's records ever said, with the time of each."""
    versions: tuple[VersionSeen, ...] = ()
    stops: tuple[StopAsked, ...] = ()

    def __add__(self, other: Journal) -> Journal:
        merged = {
            field.name: getattr(self, field.name) + getattr(other, field.name)
            for field in fields(self)
        }
        return Journal(**merged)
