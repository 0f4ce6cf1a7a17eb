"""The merged records of all stand-ins of a deployment."""

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
    """What happened, as observed from outside the router."""

    grants: tuple[GrantHeld, ...] = ()
    runs: tuple[Run, ...] = ()
    told: tuple[Told, ...] = ()
    assignments_told: tuple[AssignmentTold, ...] = ()
    assignments_kept: tuple[AssignmentTold, ...] = ()
    """The assignments in the store's records at the end."""
    assignments_recorded: tuple[AssignmentTold, ...] = ()
    """All assignments ever recorded in the store, with the time of each."""
    versions: tuple[VersionSeen, ...] = ()
    stops: tuple[StopAsked, ...] = ()

    def __add__(self, other: Journal) -> Journal:
        merged = {
            field.name: getattr(self, field.name) + getattr(other, field.name)
            for field in fields(self)
        }
        return Journal(**merged)
