from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tests.fakes.call_outcome import CallOutcome
from tests.matrix.step_kind import StepKind

if TYPE_CHECKING:
    from tests.fakes.step import Step
    from tests.matrix.matrix_deployment import MatrixDeployment
    from tests.matrix.procedure_step import ProcedureStep

EVERYWHERE = frozenset(StepKind)


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault, the steps it applies to, and how it begins and ends."""

    name: str
    kinds: frozenset[StepKind] = field(default=EVERYWHERE)
    """The kinds of steps at which the fault can be injected."""
    outcome: CallOutcome = CallOutcome.PASS
    delay_seconds: float = 0.0
    strike: Callable[[MatrixDeployment, Step], None] | None = None
    heal: Callable[[MatrixDeployment, Step], None] | None = None
    heal_seconds: float = 2.0
    """The time from the start of the fault until it is healed."""
    needs_entry_source: bool = False
    """Whether the fault affects the entry host that makes the call."""
    blocks_store: bool = False
    """Whether no entry host can use the store until the fault is healed."""
    disables_source: bool = False
    """Whether the fault disables the calling entry host or the leader."""
    partitions_zone: bool = False
    """Whether the entry hosts of one zone are partitioned from the others."""
    can_be_second: bool = False
    """Whether the fault can be the second of a pair. It then needs no step of
    its own."""

    def applies_to(self, step: ProcedureStep) -> bool:
        if step.kind not in self.kinds:
            return False
        return not (self.needs_entry_source and step.by_operator)
