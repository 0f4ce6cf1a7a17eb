from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from balsamway.balance import Move
from balsamway.configuration.acceptance import Acceptance
from balsamway.slices import position_of
from tests.matrix.procedure_step import ProcedureStep
from tests.matrix.process import Process, start_outside
from tests.matrix.record_change import record_change
from tests.matrix.step_kind import StepKind
from tests.matrix.world import SHARD, World, configuration

if TYPE_CHECKING:
    from tests.fakes.step import Step

OPERATOR = "operator"
FROZEN_SECONDS = 2.6
"""Longer than a grant, so that the target returns without one."""
BETWEEN_CHANGES_SECONDS = 0.4
"""Less than a late message is late, so that an old version arrives last."""


@dataclass(frozen=True, slots=True)
class Procedure:
    """Something the system does, and how a test has it done."""

    name: str
    drive: Callable[[World], Awaitable[None]]
    from_nothing: bool = False
    """Whether the procedure is the start of the deployment itself."""
    of_ownership: bool = True
    """Whether pairs of faults are tried on it."""


async def _nothing(world: World) -> None:
    return


async def _lose_leader(world: World) -> None:
    world.lose_entry_host(world.leader())


async def _return_target(world: World) -> None:
    target = world.target("s1")
    target.freeze()

    async def thaw() -> None:
        await asyncio.sleep(FROZEN_SECONDS)
        target.thaw()

    start_outside(thaw())


async def _move(world: World) -> None:
    entry = world.entry[world.leader()]
    leader = entry.leadership.leader(SHARD)
    assert leader is not None
    slices = leader.context.state.record.slices
    checked = next(one for one in slices if one.owner == "s1")
    unchecked = next(one for one in slices if one.owner == "s3")
    moves = [Move(checked.range, "s2"), Move(unchecked.range, "s4")]
    entry.process.start(leader.handover.move(moves))


async def _join(world: World) -> None:
    world.add_target("s5", "zb")


async def _leave(world: World) -> None:
    world.leave(world.owner_of(position_of(world.callers.keys[0])))


async def _lose_target(world: World) -> None:
    world.target(world.owner_of(position_of(world.callers.keys[0]))).lose()


async def _accept(world: World) -> None:
    world.operator = Process(OPERATOR)
    world.operator.start(_accept_twice(world))


async def _accept_twice(world: World) -> None:
    store = world.store.client(OPERATOR)
    acceptance = Acceptance(store, random.Random(world.seed))
    await acceptance.accept(configuration(1), 1)
    await asyncio.sleep(BETWEEN_CHANGES_SECONDS)
    await acceptance.accept(configuration(1), 2)


def _store(operation: str, prefix: str) -> Callable[[object, Step], bool]:
    def matches(world: object, step: Step) -> bool:
        same = (step.interface, step.operation) == ("store", operation)
        return same and step.subject.startswith(prefix)

    return matches


def _record(change: str) -> Callable[[object, Step], bool]:
    def matches(world: object, step: Step) -> bool:
        return record_change(world, step) == change  # type: ignore[arg-type]

    return matches


def _message(name: str, held: bool | None = None) -> Callable[[object, Step], bool]:
    def matches(world: object, step: Step) -> bool:
        if (step.interface, step.operation) != ("peers", name):
            return False
        if step.source == step.subject:
            return False
        if held is None:
            return True
        return any(one.held for one in step.detail.view.slices) == held

    return matches


def _order(name: str, subject: str = "") -> Callable[[object, Step], bool]:
    def matches(world: object, step: Step) -> bool:
        same = (step.interface, step.operation) == ("targets", name)
        return same and subject in ("", step.subject)

    return matches


def _request(kind: str) -> Callable[[object, Step], bool]:
    def matches(world: object, step: Step) -> bool:
        return step.interface == "requests" and step.detail.kind == kind

    return matches


READ, WATCH, WRITE = StepKind.STORE_READ, StepKind.STORE_WATCH, StepKind.STORE_WRITE
MESSAGE, ORDER, REQUEST = StepKind.MESSAGE, StepKind.ORDER, StepKind.REQUEST

PROCEDURES = (
    Procedure("first-claim", _nothing, from_nothing=True),
    Procedure("claim", _lose_leader),
    Procedure("renewal", _nothing),
    Procedure("return", _return_target),
    Procedure("move", _move),
    Procedure("join", _join),
    Procedure("leave", _leave),
    Procedure("loss", _lose_target),
    Procedure("accept", _accept, of_ownership=False),
    Procedure("adopt", _accept, of_ownership=False),
    Procedure("request", _nothing, of_ownership=False),
)

STEPS = (
    ProcedureStep("first-claim", "read", READ, _store("read", "shards/")),
    ProcedureStep("first-claim", "create", WRITE, _record("create")),
    ProcedureStep("first-claim", "adopt", MESSAGE, _message("AdoptRequest")),
    ProcedureStep("first-claim", "promise", MESSAGE, _message("PromiseRequest")),
    ProcedureStep("first-claim", "survey", ORDER, _order("survey")),
    ProcedureStep("first-claim", "intent", WRITE, _record("intent")),
    ProcedureStep("first-claim", "commit", WRITE, _record("commit")),
    ProcedureStep("first-claim", "grant", ORDER, _order("grant")),
    ProcedureStep("first-claim", "view", MESSAGE, _message("ViewRequest")),
    ProcedureStep("claim", "query", MESSAGE, _message("LeaderQuery")),
    ProcedureStep("claim", "read", READ, _store("read", "shards/")),
    ProcedureStep("claim", "write", WRITE, _record("claim")),
    ProcedureStep("claim", "adopt", MESSAGE, _message("AdoptRequest")),
    ProcedureStep("claim", "promise", MESSAGE, _message("PromiseRequest")),
    ProcedureStep("claim", "survey", ORDER, _order("survey")),
    ProcedureStep("claim", "grant", ORDER, _order("grant")),
    ProcedureStep("claim", "view", MESSAGE, _message("ViewRequest")),
    ProcedureStep("renewal", "promise", MESSAGE, _message("PromiseRequest")),
    ProcedureStep("renewal", "grant", ORDER, _order("grant")),
    ProcedureStep("renewal", "view", MESSAGE, _message("ViewRequest")),
    ProcedureStep("renewal", "heartbeat", MESSAGE, _message("Heartbeat")),
    ProcedureStep("return", "survey", ORDER, _order("survey", "s1")),
    ProcedureStep("return", "grant", ORDER, _order("grant", "s1")),
    ProcedureStep("move", "intent", WRITE, _record("intent")),
    ProcedureStep("move", "hold", MESSAGE, _message("ViewNotice", held=True)),
    ProcedureStep("move", "release", ORDER, _order("release")),
    ProcedureStep("move", "commit", WRITE, _record("commit")),
    ProcedureStep("move", "grant", ORDER, _order("grant")),
    ProcedureStep("move", "resume", MESSAGE, _message("ViewNotice", held=False)),
    ProcedureStep("join", "survey", ORDER, _order("survey", "s5")),
    ProcedureStep("join", "intent", WRITE, _record("intent")),
    ProcedureStep("join", "release", ORDER, _order("release")),
    ProcedureStep("join", "commit", WRITE, _record("commit")),
    ProcedureStep("join", "grant", ORDER, _order("grant", "s5")),
    ProcedureStep("leave", "intent", WRITE, _record("intent")),
    ProcedureStep("leave", "hold", MESSAGE, _message("ViewNotice", held=True)),
    ProcedureStep("leave", "release", ORDER, _order("release")),
    ProcedureStep("leave", "commit", WRITE, _record("commit")),
    ProcedureStep("leave", "grant", ORDER, _order("grant")),
    ProcedureStep("loss", "activate", WRITE, _record("activate")),
    ProcedureStep("loss", "grant", ORDER, _order("grant")),
    ProcedureStep("loss", "view", MESSAGE, _message("ViewNotice")),
    ProcedureStep("accept", "read", READ, _store("read", "configuration"), True),
    ProcedureStep("accept", "write", WRITE, _store("write", "configuration/"), True),
    ProcedureStep("adopt", "watch", WATCH, _store("watch", "configuration/")),
    ProcedureStep("adopt", "notice", MESSAGE, _message("ConfigurationNotice")),
    ProcedureStep("adopt", "digest", MESSAGE, _message("ConfigurationDigest")),
    ProcedureStep("request", "send-read", REQUEST, _request("read")),
    ProcedureStep("request", "send-order", REQUEST, _request("order")),
    ProcedureStep("request", "view", MESSAGE, _message("ViewRequest")),
)
