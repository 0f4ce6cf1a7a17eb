"""Protections in the real modules that tests disable one at a time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from balsamway.configuration.configuration_table import ConfigurationTable
from balsamway.gateway.attempt_log import AttemptLog
from balsamway.gateway.attempt_loop import AttemptLoop
from balsamway.outcome import MayHaveRun
from balsamway.ownership.grant_renewer import GrantRenewer
from balsamway.ownership.leaving import Leaving
from balsamway.ownership.shard_state import ShardState
from balsamway.ownership.view_server import ViewServer
from balsamway.standins.checker import Invariant


@dataclass(frozen=True, slots=True)
class Mutation:
    """A protection, its replacement, and the cell that must detect it."""

    name: str
    invariant: Invariant
    owner: type
    attribute: str
    replacement: Any
    cell: str


async def _skip_fencing(self: ViewServer, give_up_at: float | None = None) -> bool:
    return True


async def _skip_emptying(self: Leaving) -> None:
    return


def _retry_all(original: Callable[..., bool]) -> Callable[..., bool]:
    def may_retry(self: AttemptLoop, verdict: Any) -> bool:
        return isinstance(verdict, MayHaveRun) or original(self, verdict)

    return may_retry


def _forget_uncertain(original: Callable[..., None]) -> Callable[..., None]:
    def add(self: AttemptLog, verdict: Any) -> None:
        if not isinstance(verdict, MayHaveRun):
            original(self, verdict)

    return add


MUTATIONS = (
    Mutation(
        "a silent target counts as lost before its grant has lapsed",
        Invariant.SOLE_OWNER,
        GrantRenewer,
        "lost",
        property(lambda self: not self.answers),
        "renewal/grant:target-frozen",
    ),
    Mutation(
        "no gateway is fenced before a slice leaves a target that does not check",
        Invariant.RUN_UNDER_OWNERSHIP,
        ViewServer,
        "fence",
        _skip_fencing,
        "move/intent:zone-cut-from-peers",
    ),
    Mutation(
        "an assignment that the store does not hold is told as in effect",
        Invariant.ASSIGNMENT_KEPT,
        ShardState,
        "provisional",
        lambda self: frozenset(),
        "loss/activate:store-down",
    ),
    Mutation(
        "a request that may have run is sent again",
        Invariant.RUN_AT_MOST_ONCE,
        AttemptLoop,
        "_may_retry",
        _retry_all(AttemptLoop._may_retry),
        "request/send-order:answer-lost",
    ),
    Mutation(
        "an attempt that may have run is left out of the verdict",
        Invariant.NOT_RUN_IS_TRUE,
        AttemptLog,
        "add",
        _forget_uncertain(AttemptLog.add),
        "request/send-order:answer-lost",
    ),
    Mutation(
        "an older configuration is adopted",
        Invariant.VERSION_GROWS,
        ConfigurationTable,
        "version",
        lambda self, workspace: 0,
        "adopt/notice:message-late",
    ),
    Mutation(
        "a leaving target is not emptied",
        Invariant.LEAVING_IDLE,
        Leaving,
        "empty",
        _skip_emptying,
        "leave/grant:message-doubled",
    ),
    Mutation(
        "a leaving target is not emptied before it stops",
        Invariant.STOP_GRACEFUL,
        Leaving,
        "empty",
        _skip_emptying,
        "leave/grant:message-doubled",
    ),
)
