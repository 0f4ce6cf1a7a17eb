from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.fakes.call_outcome import CallOutcome
from tests.fakes.faults import Injection
from tests.matrix.fault import Fault
from tests.matrix.process import start_outside
from tests.matrix.step_kind import StepKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.fakes.step import Step
    from tests.matrix.world import World

SENT_SECONDS = 0.0035
"""After this time a call has reached its subject, unless it was held up."""
MESSAGES = frozenset({StepKind.MESSAGE})
ORDERS = frozenset({StepKind.ORDER})
REQUESTS = frozenset({StepKind.REQUEST})
WRITES = frozenset({StepKind.STORE_WRITE})
READS = frozenset({StepKind.STORE_READ, StepKind.STORE_WATCH})
CALLS = MESSAGES | ORDERS | REQUESTS


def _lose_source(world: World, step: Step) -> None:
    world.lose_entry_host(step.source)


def _lose_subject(world: World, step: Step) -> None:
    if step.interface == "peers":
        world.lose_entry_host(step.subject)
    else:
        world.target(step.subject).lose()


def _return_source(world: World, step: Step) -> None:
    if step.source not in world.entry:
        start_outside(world.start_entry_host(step.source))


def _return_subject(world: World, step: Step) -> None:
    if step.interface != "peers":
        world.target(step.subject).restart()
    elif step.subject not in world.entry:
        start_outside(world.start_entry_host(step.subject))


def _pause_source(world: World, step: Step) -> None:
    if step.source in world.entry:
        world.entry[step.source].process.pause()


def _resume_source(world: World, step: Step) -> None:
    if step.source in world.entry:
        world.entry[step.source].process.resume()


def _pause_subject(world: World, step: Step) -> None:
    if step.interface != "peers":
        world.target(step.subject).freeze()
    elif step.subject in world.entry:
        world.entry[step.subject].process.pause()


def _resume_subject(world: World, step: Step) -> None:
    if step.interface != "peers":
        world.target(step.subject).thaw()
    elif step.subject in world.entry:
        world.entry[step.subject].process.resume()


def _once_sent(strike: Callable[[World, Step], None]) -> Callable[[World, Step], None]:
    def later(world: World, step: Step) -> None:
        async def strike_later() -> None:
            await asyncio.sleep(SENT_SECONDS)
            strike(world, step)

        start_outside(strike_later())

    return later


def _store_down(world: World, step: Step) -> None:
    world.store.outage = True


def _store_up(world: World, step: Step) -> None:
    world.store.outage = False


def _store_slow(world: World, step: Step) -> None:
    world.store.latency_seconds = 1.5


def _store_fast(world: World, step: Step) -> None:
    world.store.latency_seconds = 0.002


def _zone_of(world: World, step: Step) -> str:
    hosts = {one.name: one.zone for one in world.entry_list}
    return hosts.get(step.source, "za")


def _hosts_in(world: World, zone: str) -> set[str]:
    return {one.name for one in world.entry_list if one.zone == zone}


def _cut_zone_from_store(world: World, step: Step) -> None:
    world.store.cut_hosts |= _hosts_in(world, _zone_of(world, step))


def _cut_zone_from_peers(world: World, step: Step) -> None:
    inside = _hosts_in(world, _zone_of(world, step))
    outside = {one.name for one in world.entry_list} - inside
    world.network.partition(inside, outside)
    world.callers.uncounted |= inside


def _cut_zone_off(world: World, step: Step) -> None:
    _cut_zone_from_store(world, step)
    _cut_zone_from_peers(world, step)
    zone = _zone_of(world, step)
    for target in world.targets.targets.values():
        for host in world.entry_list:
            if (host.zone == zone) != (target.host.zone == zone):
                world.targets.cut.add((host.name, target.name))


def _heal_network(world: World, step: Step) -> None:
    world.store.cut_hosts.clear()
    world.network.heal()
    world.targets.cut.clear()
    world.callers.uncounted.clear()


def _cut_host_from_targets(world: World, step: Step) -> None:
    world.targets.cut |= {(step.source, name) for name in world.targets.targets}
    world.callers.uncounted.add(step.source)


def _lapse_lease(world: World, step: Step) -> None:
    leader = world.leader()
    _drop_all(world, lambda one: one.source == leader, "PromiseRequest")


def _lapse_grant(world: World, step: Step) -> None:
    targets = world.targets.targets
    subject = step.subject if step.subject in targets else "s2"
    _drop_all(world, lambda one: one.subject == subject, "grant")


def _drop_all(world: World, of: Callable[[Step], bool], operation: str) -> None:
    def matches(one: Step) -> bool:
        return one.operation == operation and of(one)

    world.lapses.append(
        world.faults.inject(Injection(matches, CallOutcome.DROP, times=1_000_000))
    )


def _end_lapse(world: World, step: Step) -> None:
    for injection in world.lapses:
        injection.times = 0


def _lose_target(world: World, step: Step) -> None:
    world.target("s2").lose()


def _return_target(world: World, step: Step) -> None:
    world.target("s2").restart()


def _freeze_target(world: World, step: Step) -> None:
    world.target("s1").freeze()


def _thaw_target(world: World, step: Step) -> None:
    world.target("s1").thaw()


def _lose_leader(world: World, step: Step) -> None:
    leader = world.leader()
    world.lost_leader = leader
    world.lose_entry_host(leader)


def _return_leader(world: World, step: Step) -> None:
    if world.lost_leader and world.lost_leader not in world.entry:
        start_outside(world.start_entry_host(world.lost_leader))


def _pause_leader(world: World, step: Step) -> None:
    leader = world.leader()
    world.paused_leader = leader
    if leader in world.entry:
        world.entry[leader].process.pause()


def _resume_leader(world: World, step: Step) -> None:
    if world.paused_leader in world.entry:
        world.entry[world.paused_leader].process.resume()


FAULTS = (
    Fault(
        "source-lost",
        strike=_lose_source,
        heal=_return_source,
        heal_seconds=4.0,
        needs_entry_source=True,
        takes_source=True,
    ),
    Fault(
        "source-lost-once-sent",
        strike=_once_sent(_lose_source),
        heal=_return_source,
        heal_seconds=4.0,
        needs_entry_source=True,
        takes_source=True,
    ),
    Fault(
        "source-paused",
        strike=_pause_source,
        heal=_resume_source,
        heal_seconds=4.5,
        needs_entry_source=True,
        takes_source=True,
    ),
    Fault(
        "source-paused-briefly",
        strike=_pause_source,
        heal=_resume_source,
        heal_seconds=1.4,
        needs_entry_source=True,
        takes_source=True,
    ),
    Fault(
        "source-paused-once-sent",
        strike=_once_sent(_pause_source),
        heal=_resume_source,
        heal_seconds=4.5,
        needs_entry_source=True,
        takes_source=True,
    ),
    Fault("subject-lost", CALLS, strike=_lose_subject, heal=_return_subject),
    Fault(
        "subject-lost-once-sent",
        CALLS,
        strike=_once_sent(_lose_subject),
        heal=_return_subject,
    ),
    Fault(
        "subject-paused",
        CALLS,
        strike=_pause_subject,
        heal=_resume_subject,
        heal_seconds=4.5,
    ),
    Fault(
        "subject-paused-briefly",
        CALLS,
        strike=_pause_subject,
        heal=_resume_subject,
        heal_seconds=1.4,
    ),
    Fault("message-lost", CALLS, CallOutcome.DROP),
    Fault("message-late", MESSAGES | ORDERS, CallOutcome.APPLY_LATE),
    Fault("message-doubled", MESSAGES | ORDERS, CallOutcome.DOUBLE),
    Fault("message-reordered", MESSAGES | ORDERS, delay_seconds=0.7),
    Fault("answer-lost", CALLS, CallOutcome.LOSE_ANSWER),
    Fault("answer-late", REQUESTS, CallOutcome.APPLY_LATE),
    Fault(
        "store-down",
        strike=_store_down,
        heal=_store_up,
        heal_seconds=8.0,
        at_any_time=True,
        takes_store=True,
    ),
    Fault(
        "store-slow",
        strike=_store_slow,
        heal=_store_fast,
        heal_seconds=8.0,
        at_any_time=True,
        takes_store=True,
    ),
    Fault("read-refused", READS, CallOutcome.DROP),
    Fault("write-refused", WRITES, CallOutcome.DROP),
    Fault("write-answer-lost", WRITES, CallOutcome.LOSE_ANSWER),
    Fault("write-late", WRITES, CallOutcome.APPLY_LATE),
    Fault("write-doubled", WRITES, CallOutcome.DOUBLE),
    Fault("write-conflict", WRITES, CallOutcome.CONFLICT),
    Fault(
        "zone-cut-from-store",
        strike=_cut_zone_from_store,
        heal=_heal_network,
        heal_seconds=6.0,
        needs_entry_source=True,
        at_any_time=True,
    ),
    Fault(
        "zone-cut-from-peers",
        strike=_cut_zone_from_peers,
        heal=_heal_network,
        heal_seconds=6.0,
        needs_entry_source=True,
        at_any_time=True,
        takes_source=True,
        takes_zone=True,
    ),
    Fault(
        "zone-cut-off",
        strike=_cut_zone_off,
        heal=_heal_network,
        heal_seconds=6.0,
        needs_entry_source=True,
        at_any_time=True,
        takes_source=True,
        takes_zone=True,
    ),
    Fault(
        "host-cut-from-targets",
        strike=_cut_host_from_targets,
        heal=_heal_network,
        heal_seconds=6.0,
        needs_entry_source=True,
    ),
    Fault(
        "lease-lapse",
        strike=_lapse_lease,
        heal=_end_lapse,
        heal_seconds=2.5,
        at_any_time=True,
        takes_source=True,
    ),
    Fault(
        "grant-lapse",
        strike=_lapse_grant,
        heal=_end_lapse,
        heal_seconds=3.5,
        at_any_time=True,
    ),
    Fault(
        "target-lost",
        strike=_lose_target,
        heal=_return_target,
        heal_seconds=8.0,
        at_any_time=True,
    ),
    Fault(
        "target-frozen",
        strike=_freeze_target,
        heal=_thaw_target,
        heal_seconds=4.5,
        at_any_time=True,
    ),
    Fault(
        "leader-lost",
        strike=_lose_leader,
        heal=_return_leader,
        heal_seconds=8.0,
        at_any_time=True,
        takes_source=True,
    ),
    Fault(
        "leader-paused",
        strike=_pause_leader,
        heal=_resume_leader,
        heal_seconds=4.5,
        at_any_time=True,
        takes_source=True,
    ),
)
