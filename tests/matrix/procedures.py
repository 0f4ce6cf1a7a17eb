from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from balsamway.balance import Move
from balsamway.configuration.acceptance import Acceptance
from balsamway.slices import position_of
from tests.matrix.matrix_deployment import SHARD, MatrixDeployment, configuration
from tests.matrix.procedure_step import ProcedureStep
from tests.matrix.process import Process, start_outside
from tests.matrix.record_change import record_change
from tests.matrix.step_kind import StepKind

if TYPE_CHECKING:
    from tests.fakes.step import Step

OPERATOR = "operator"
FREEZE_SECONDS = 2.6
"""Longer than a grant, so that the target has no grant when it thaws."""
CHANGE_INTERVAL_SECONDS = 0.4
"""Shorter than the delay of a late message, so that the older version
arrives last."""


@dataclass(frozen=True, slots=True)
class Procedure:
    """An operation of the system, and the function that triggers it."""

    name: str
    drive: Callable[[MatrixDeployment], Awaitable[None]]
    is_startup: bool = False
    """Whether the procedure is the startup of the deployment."""
    with_fault_pairs: bool = True
    """Whether the procedure is also tested with pairs of faults."""


async def _do_nothing(deployment: MatrixDeployment) -> None:
    return


async def _lose_leader(deployment: MatrixDeployment) -> None:
    deployment.lose_entry_host(deployment.leader())


async def _return_target(deployment: MatrixDeployment) -> None:
    target = deployment.target("s1")
    target.freeze()

    async def thaw() -> None:
        await asyncio.sleep(FREEZE_SECONDS)
        target.thaw()

    start_outside(thaw())


async def _move(deployment: MatrixDeployment) -> None:
    entry = deployment.entry_hosts[deployment.leader()]
    leader = entry.leadership.leader(SHARD)
    assert leader is not None
    slices = leader.context.state.record.slices
    checked = next(item for item in slices if item.owner == "s1")
    unchecked = next(item for item in slices if item.owner == "s3")
    moves = [Move(checked.range, "s2"), Move(unchecked.range, "s4")]
    entry.process.start(leader.handover.move(moves))


async def _join(deployment: MatrixDeployment) -> None:
    deployment.add_target("s5", "zb")


async def _leave(deployment: MatrixDeployment) -> None:
    deployment.leave(deployment.owner_of(position_of(deployment.callers.keys[0])))


async def _lose_target(deployment: MatrixDeployment) -> None:
    deployment.target(
        deployment.owner_of(position_of(deployment.callers.keys[0]))
    ).lose()


async def _accept(deployment: MatrixDeployment) -> None:
    deployment.operator = Process(OPERATOR)
    deployment.operator.start(_accept_twice(deployment))


async def _accept_twice(deployment: MatrixDeployment) -> None:
    store = deployment.store.client(OPERATOR)
    acceptance = Acceptance(store, random.Random(deployment.seed))
    await acceptance.accept(configuration(1), 1)
    await asyncio.sleep(CHANGE_INTERVAL_SECONDS)
    await acceptance.accept(configuration(1), 2)


def _store_call(operation: str, prefix: str) -> Callable[[object, Step], bool]:
    def matches(deployment: object, step: Step) -> bool:
        same_call = (step.interface, step.operation) == ("store", operation)
        return same_call and step.subject.startswith(prefix)

    return matches


def _record_write(change: str) -> Callable[[object, Step], bool]:
    def matches(deployment: object, step: Step) -> bool:
        return record_change(deployment, step) == change  # type: ignore[arg-type]

    return matches


def _peer_message(
    name: str, held: bool | None = None
) -> Callable[[object, Step], bool]:
    def matches(deployment: object, step: Step) -> bool:
        if (step.interface, step.operation) != ("peers", name):
            return False
        if step.source == step.subject:
            return False
        if held is None:
            return True
        return any(item.held for item in step.detail.view.slices) == held

    return matches


def _target_order(name: str, subject: str = "") -> Callable[[object, Step], bool]:
    def matches(deployment: object, step: Step) -> bool:
        same_call = (step.interface, step.operation) == ("targets", name)
        return same_call and subject in ("", step.subject)

    return matches


def _caller_request(kind: str) -> Callable[[object, Step], bool]:
    def matches(deployment: object, step: Step) -> bool:
        return step.interface == "requests" and step.detail.kind == kind

    return matches


READ, WATCH, WRITE = StepKind.STORE_READ, StepKind.STORE_WATCH, StepKind.STORE_WRITE
MESSAGE, ORDER, REQUEST = StepKind.MESSAGE, StepKind.ORDER, StepKind.REQUEST

PROCEDURES = (
    Procedure("first-claim", _do_nothing, is_startup=True),
    Procedure("claim", _lose_leader),
    Procedure("renewal", _do_nothing),
    Procedure("return", _return_target),
    Procedure("move", _move),
    Procedure("join", _join),
    Procedure("leave", _leave),
    Procedure("loss", _lose_target),
    Procedure("accept", _accept, with_fault_pairs=False),
    Procedure("adopt", _accept, with_fault_pairs=False),
    Procedure("request", _do_nothing, with_fault_pairs=False),
)

STEPS = (
    ProcedureStep("first-claim", "read", READ, _store_call("read", "shards/")),
    ProcedureStep("first-claim", "create", WRITE, _record_write("create")),
    ProcedureStep("first-claim", "adopt", MESSAGE, _peer_message("AdoptRequest")),
    ProcedureStep("first-claim", "promise", MESSAGE, _peer_message("PromiseRequest")),
    ProcedureStep("first-claim", "survey", ORDER, _target_order("survey")),
    ProcedureStep("first-claim", "intent", WRITE, _record_write("intent")),
    ProcedureStep("first-claim", "commit", WRITE, _record_write("commit")),
    ProcedureStep("first-claim", "grant", ORDER, _target_order("grant")),
    ProcedureStep("first-claim", "view", MESSAGE, _peer_message("ViewRequest")),
    ProcedureStep("claim", "query", MESSAGE, _peer_message("LeaderQuery")),
    ProcedureStep("claim", "read", READ, _store_call("read", "shards/")),
    ProcedureStep("claim", "write", WRITE, _record_write("claim")),
    ProcedureStep("claim", "adopt", MESSAGE, _peer_message("AdoptRequest")),
    ProcedureStep("claim", "promise", MESSAGE, _peer_message("PromiseRequest")),
    ProcedureStep("claim", "survey", ORDER, _target_order("survey")),
    ProcedureStep("claim", "grant", ORDER, _target_order("grant")),
    ProcedureStep("claim", "view", MESSAGE, _peer_message("ViewRequest")),
    ProcedureStep("renewal", "promise", MESSAGE, _peer_message("PromiseRequest")),
    ProcedureStep("renewal", "grant", ORDER, _target_order("grant")),
    ProcedureStep("renewal", "view", MESSAGE, _peer_message("ViewRequest")),
    ProcedureStep("renewal", "heartbeat", MESSAGE, _peer_message("Heartbeat")),
    ProcedureStep("return", "survey", ORDER, _target_order("survey", "s1")),
    ProcedureStep("return", "grant", ORDER, _target_order("grant", "s1")),
    ProcedureStep("move", "intent", WRITE, _record_write("intent")),
    ProcedureStep("move", "hold", MESSAGE, _peer_message("ViewNotice", held=True)),
    ProcedureStep("move", "release", ORDER, _target_order("release")),
    ProcedureStep("move", "commit", WRITE, _record_write("commit")),
    ProcedureStep("move", "grant", ORDER, _target_order("grant")),
    ProcedureStep("move", "resume", MESSAGE, _peer_message("ViewNotice", held=False)),
    ProcedureStep("join", "survey", ORDER, _target_order("survey", "s5")),
    ProcedureStep("join", "intent", WRITE, _record_write("intent")),
    ProcedureStep("join", "release", ORDER, _target_order("release")),
    ProcedureStep("join", "commit", WRITE, _record_write("commit")),
    ProcedureStep("join", "grant", ORDER, _target_order("grant", "s5")),
    ProcedureStep("leave", "intent", WRITE, _record_write("intent")),
    ProcedureStep("leave", "hold", MESSAGE, _peer_message("ViewNotice", held=True)),
    ProcedureStep("leave", "release", ORDER, _target_order("release")),
    ProcedureStep("leave", "commit", WRITE, _record_write("commit")),
    ProcedureStep("leave", "grant", ORDER, _target_order("grant")),
    ProcedureStep("loss", "activate", WRITE, _record_write("activate")),
    ProcedureStep("loss", "grant", ORDER, _target_order("grant")),
    ProcedureStep("loss", "view", MESSAGE, _peer_message("ViewNotice")),
    ProcedureStep("accept", "read", READ, _store_call("read", "configuration"), True),
    ProcedureStep(
        "accept", "write", WRITE, _store_call("write", "configuration/"), True
    ),
    ProcedureStep("adopt", "watch", WATCH, _store_call("watch", "configuration/")),
    ProcedureStep("adopt", "notice", MESSAGE, _peer_message("ConfigurationNotice")),
    ProcedureStep("adopt", "digest", MESSAGE, _peer_message("ConfigurationDigest")),
    ProcedureStep("request", "send-read", REQUEST, _caller_request("read")),
    ProcedureStep("request", "send-order", REQUEST, _caller_request("order")),
    ProcedureStep("request", "view", MESSAGE, _peer_message("ViewRequest")),
)
