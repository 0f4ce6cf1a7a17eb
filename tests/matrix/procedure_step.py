from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from tests.fakes.step import Step
from tests.matrix.step_kind import StepKind


@dataclass(frozen=True, slots=True)
class ProcedureStep:
    """A step of a procedure at which faults are injected."""

    procedure: str
    name: str
    kind: StepKind
    matches: Callable[[object, Step], bool]
    """Takes the deployment and a call on a fake."""
    by_operator: bool = False
    """Whether an operator's command, not an entry host, makes the call."""

    def __str__(self) -> str:
        return f"{self.procedure}/{self.name}"
