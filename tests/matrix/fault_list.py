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
    from tests.matrix.matrix_deployment import MatrixDeployment

SEND_DELAY_SECONDS = 0.0035
"""The time after which a call that is not delayed has reached its subject."""
MESSAGES = frozenset({StepKind.MESSAGE})
ORDERS = frozenset({StepKind.ORDER})
REQUESTS = frozenset({StepKind.REQUEST})
WRITES = frozenset({StepKind.STORE_WRITE})
READS = frozenset({StepKind.STORE_READ, StepKind.STORE_WATCH})
CALLS = MESSAGES | ORDERS | REQUESTS


def _lose_source(deployment: MatrixDeployment, step: Step) -> None:
    deployment.lose_entry_host(step.source)


def _lose_subject(deployment: MatrixDeployment, step: Step) -> None:
    if step.interface == "peers":
        deployment.lose_entry_host(step.subject)
    else:
        deployment.target(step.subject).lose()


def _return_source(deployment: MatrixDeployment, step: Step) -> None:
    if step.source not in deployment.entry_hosts:
        start_outside(deployment.start_entry_host(step.source))


def _return_subject(deployment: MatrixDeployment, step: Step) -> None:
    if step.interface != "peers":
        deployment.target(step.subject).restart()
    elif step.subject not in deployment.entry_hosts:
        start_outside(deployment.start_entry_host(step.subject))


def _pause_source(deployment: MatrixDeployment, step: Step) -> None:
    if step.source in deployment.entry_hosts:
        deployment.entry_hosts[step.source].process.pause()


def _resume_source(deployment: MatrixDeployment, step: Step) -> None:
    if step.source in deployment.entry_hosts:
        deployment.entry_hosts[step.source].process.resume()


def _pause_subject(deployment: MatrixDeployment, step: Step) -> None:
    if step.interface != "peers":
        deployment.target(step.subject).freeze()
    elif step.subject in deployment.entry_hosts:
        deployment.entry_hosts[step.subject].process.pause()


def _resume_subject(deployment: MatrixDeployment, step: Step) -> None:
    if step.interface != "peers":
        deployment.target(step.subject).thaw()
    elif step.subject in deployment.entry_hosts:
        deployment.entry_hosts[step.subject].process.resume()


def _after_send(
    strike: Callable[[MatrixDeployment, Step], None],
) -> Callable[[MatrixDeployment, Step], None]:
    def later(deployment: MatrixDeployment, step: Step) -> None:
        async def strike_later() -> None:
            await asyncio.sleep(SEND_DELAY_SECONDS)
            strike(deployment, step)

        start_outside(strike_later())

    return later


def _store_down(deployment: MatrixDeployment, step: Step) -> None:
    deployment.store.outage = True


def _store_up(deployment: MatrixDeployment, step: Step) -> None:
    deployment.store.outage = False


def _store_slow(deployment: MatrixDeployment, step: Step) -> None:
    deployment.store.latency_seconds = 1.5


def _store_fast(deployment: MatrixDeployment, step: Step) -> None:
    deployment.store.latency_seconds = 0.002


def _zone_of(deployment: MatrixDeployment, step: Step) -> str:
    hosts = {host.name: host.zone for host in deployment.entry_list}
    return hosts.get(step.source, "za")


def _hosts_in(deployment: MatrixDeployment, zone: str) -> set[str]:
    return {host.name for host in deployment.entry_list if host.zone == zone}


def _cut_zone_from_store(deployment: MatrixDeployment, step: Step) -> None:
    deployment.store.cut_hosts |= _hosts_in(deployment, _zone_of(deployment, step))


def _cut_zone_from_peers(deployment: MatrixDeployment, step: Step) -> None:
    inside = _hosts_in(deployment, _zone_of(deployment, step))
    outside = {host.name for host in deployment.entry_list} - inside
    deployment.network.partition(inside, outside)
    deployment.callers.uncounted_hosts |= inside


def _partition_zone(deployment: MatrixDeployment, step: Step) -> None:
    _cut_zone_from_store(deployment, step)
    _cut_zone_from_peers(deployment, step)
    zone = _zone_of(deployment, step)
    for target in deployment.targets.targets.values():
        for host in deployment.entry_list:
            if (host.zone == zone) != (target.host.zone == zone):
                deployment.targets.cut.add((host.name, target.name))


def _heal_network(deployment: MatrixDeployment, step: Step) -> None:
    deployment.store.cut_hosts.clear()
    deployment.network.heal()
    deployment.targets.cut.clear()
    deployment.callers.uncounted_hosts.clear()


def _cut_host_from_targets(deployment: MatrixDeployment, step: Step) -> None:
    deployment.targets.cut |= {
        (step.source, name) for name in deployment.targets.targets
    }
    deployment.callers.uncounted_hosts.add(step.source)


def _expire_lease(deployment: MatrixDeployment, step: Step) -> None:
    leader = deployment.leader()
    _drop_all(deployment, lambda call: call.source == leader, "PromiseRequest")


def _expire_grant(deployment: MatrixDeployment, step: Step) -> None:
    targets = deployment.targets.targets
    subject = step.subject if step.subject in targets else "s2"
    _drop_all(deployment, lambda call: call.subject == subject, "grant")


def _drop_all(
    deployment: MatrixDeployment, is_affected: Callable[[Step], bool], operation: str
) -> None:
    def matches(call: Step) -> bool:
        return call.operation == operation and is_affected(call)

    deployment.drop_injections.append(
        deployment.faults.inject(Injection(matches, CallOutcome.DROP, times=1_000_000))
    )


def _stop_dropping(deployment: MatrixDeployment, step: Step) -> None:
    for injection in deployment.drop_injections:
        injection.times = 0


def _lose_target(deployment: MatrixDeployment, step: Step) -> None:
    deployment.target("s2").lose()


def _return_target(deployment: MatrixDeployment, step: Step) -> None:
    deployment.target("s2").restart()


def _freeze_target(deployment: MatrixDeployment, step: Step) -> None:
    deployment.target("s1").freeze()


def _thaw_target(deployment: MatrixDeployment, step: Step) -> None:
    deployment.target("s1").thaw()


def _lose_leader(deployment: MatrixDeployment, step: Step) -> None:
    leader = deployment.leader()
    deployment.lost_leader = leader
    deployment.lose_entry_host(leader)


def _return_leader(deployment: MatrixDeployment, step: Step) -> None:
    if deployment.lost_leader and deployment.lost_leader not in deployment.entry_hosts:
        start_outside(deployment.start_entry_host(deployment.lost_leader))


def _pause_leader(deployment: MatrixDeployment, step: Step) -> None:
    leader = deployment.leader()
    deployment.paused_leader = leader
    if leader in deployment.entry_hosts:
        deployment.entry_hosts[leader].process.pause()


def _resume_leader(deployment: MatrixDeployment, step: Step) -> None:
    if deployment.paused_leader in deployment.entry_hosts:
        deployment.entry_hosts[deployment.paused_leader].process.resume()


FAULTS = (
    Fault(
        "source-lost",
        strike=_lose_source,
        heal=_return_source,
        heal_seconds=4.0,
        needs_entry_source=True,
        disables_source=True,
    ),
    Fault(
        "source-lost-once-sent",
        strike=_after_send(_lose_source),
        heal=_return_source,
        heal_seconds=4.0,
        needs_entry_source=True,
        disables_source=True,
    ),
    Fault(
        "source-paused",
        strike=_pause_source,
        heal=_resume_source,
        heal_seconds=4.5,
        needs_entry_source=True,
        disables_source=True,
    ),
    Fault(
        "source-paused-briefly",
        strike=_pause_source,
        heal=_resume_source,
        heal_seconds=1.4,
        needs_entry_source=True,
        disables_source=True,
    ),
    Fault(
        "source-paused-once-sent",
        strike=_after_send(_pause_source),
        heal=_resume_source,
        heal_seconds=4.5,
        needs_entry_source=True,
        disables_source=True,
    ),
    Fault("subject-lost", CALLS, strike=_lose_subject, heal=_return_subject),
    Fault(
        "subject-lost-once-sent",
        CALLS,
        strike=_after_send(_lose_subject),
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
        can_be_second=True,
        blocks_store=True,
    ),
    Fault(
        "store-slow",
        strike=_store_slow,
        heal=_store_fast,
        heal_seconds=8.0,
        can_be_second=True,
        blocks_store=True,
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
        can_be_second=True,
    ),
    Fault(
        "zone-cut-from-peers",
        strike=_cut_zone_from_peers,
        heal=_heal_network,
        heal_seconds=6.0,
        needs_entry_source=True,
        can_be_second=True,
        disables_source=True,
        partitions_zone=True,
    ),
    Fault(
        "zone-cut-off",
        strike=_partition_zone,
        heal=_heal_network,
        heal_seconds=6.0,
        needs_entry_source=True,
        can_be_second=True,
        disables_source=True,
        partitions_zone=True,
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
        strike=_expire_lease,
        heal=_stop_dropping,
        heal_seconds=2.5,
        can_be_second=True,
        disables_source=True,
    ),
    Fault(
        "grant-lapse",
        strike=_expire_grant,
        heal=_stop_dropping,
        heal_seconds=3.5,
        can_be_second=True,
    ),
    Fault(
        "target-lost",
        strike=_lose_target,
        heal=_return_target,
        heal_seconds=8.0,
        can_be_second=True,
    ),
    Fault(
        "target-frozen",
        strike=_freeze_target,
        heal=_thaw_target,
        heal_seconds=4.5,
        can_be_second=True,
    ),
    Fault(
        "leader-lost",
        strike=_lose_leader,
        heal=_return_leader,
        heal_seconds=8.0,
        can_be_second=True,
        disables_source=True,
    ),
    Fault(
        "leader-paused",
        strike=_pause_leader,
        heal=_resume_leader,
        heal_seconds=4.5,
        can_be_second=True,
        disables_source=True,
    ),
)
