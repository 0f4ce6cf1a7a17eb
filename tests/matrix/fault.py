from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tests.fakes.call_outcome import CallOutcome
from tests.matrix.step_kind import StepKind

if TYPE_CHECKING:
    from tests.fakes.step import Step
    from tests.matrix.procedure_step import ProcedureStep
    from tests.matrix.world import World

EVERYWHERE = frozenset(StepKind)


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault, where it can strike, and how it strikes and heals."""

    name: str
    kinds: frozenset[StepKind] = field(default=EVERYWHERE)
    """The kinds of steps that the fault exists for."""
    outcome: CallOutcome = CallOutcome.PASS
    delay_seconds: float = 0.0
    strike: Callable[[World, Step], None] | None = None
    heal: Callable[[World, Step], None] | None = None
    heal_seconds: float = 2.0
    """How long after it struck the fault is healed."""
    needs_entry_source: bool = False
    """Whether the fault strikes the entry host that makes the call."""
    takes_store: bool = False
    """Whether no entry host can use the store until the fault is healed."""
    takes_source: bool = False
    """Whether the entry host that makes the call, or leads, is taken out."""
    takes_zone: bool = False
    """Whether the entry hosts of one zone are cut from the others."""
    at_any_time: bool = False
    """Whether the fault can come second in a pair, at no step of its own."""

    def applies_to(self, step: ProcedureStep) -> bool:
        if step.kind not in self.kinds:
            return False
        return not (self.needs_entry_source and step.by_operator)
