"""Targets that own keys, with a check that no key has two owners."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from balsamway.discovery import TargetEntry
from balsamway.keyspace.key_record import KEY_COUNT
from balsamway.keyspace.order_result import (
    Accepted,
    OrderLost,
    OrderNotSent,
    Released,
    TokenOutdated,
    WrongTarget,
)

ORDER_LATENCY_SECONDS = 0.003
"""Time that an order takes to reach a target."""
SLOW_CLOCK_FACTOR = 1.02
"""By how much longer a grant lasts on a target whose clock runs slow.

It is the largest deviation that is allowed.
"""
GRAIN = 64
"""Only the first key of each group of this size is tracked."""


def now():
    return asyncio.get_running_loop().time()


@dataclass
class KeyedTarget:
    """One target with the grants of its current incarnation."""

    name: str
    incarnation: int = 1
    address: str = ""
    up: bool = True
    silent: bool = False
    """Whether it is partitioned: orders wait in vain and are not delivered."""
    working_seconds: float = 0.0
    """Time that work in progress takes to finish at a release."""
    holds: dict = field(default_factory=dict)
    """By key, the fencing token and the end of its grant."""
    seen: dict = field(default_factory=dict)
    """By key, the highest fencing token seen."""
    orders: int = 0
    zone: str = "z"

    def entry(self, draining=False):
        return TargetEntry(
            self.name,
            self.incarnation,
            "k",
            self.address,
            self.zone,
            3,
            draining,
            0.0,
        )

    def holding(self, key):
        grant = self.holds.get(key)
        if grant is None:
            return 0
        token, valid_until = grant
        return self.up and valid_until > now() and token


class KeyedTargets:
    """Implements `TargetControl` for some targets, with faults."""

    def __init__(self, *names):
        self.all = {
            name: KeyedTarget(name, address=f"10.0.0.{number}:80")
            for number, name in enumerate(names, 1)
        }
        self.fates = []
        """Faults of the coming grants: None, `lost` or `("late", seconds)`."""
        self.broken = []
        """Violations: a key with two owners, or a token that did not rise."""
        self.accepted = {}
        """By key, the highest accepted token and who accepted it."""
        self._pool_incarnations = {}
        """By pool, the incarnation of the target to which it is connected."""
        self.handovers = 0
        self.cold = 0

    def restart(self, name):
        target = self.all[name]
        target.up, target.silent = True, False
        target.incarnation += 1
        target.holds, target.seen = {}, {}

    def unowned(self, keys=range(0, KEY_COUNT, GRAIN)):
        return [
            key
            for key in keys
            if not any(target.holding(key) for target in self.all.values())
        ]

    def owner(self, key):
        owners = [target.name for target in self.all.values() if target.holding(key)]
        return owners[0] if owners else None

    async def grant(
        self,
        pool,
        target,
        keys,
        token,
        grant_seconds,
        handover,
        timeout_seconds,
        may_send,
    ):
        receiver = self._find_target(pool)
        failure = await self._deliver(receiver, target, timeout_seconds)
        if failure is None and self._was_reset(pool, receiver):
            failure = OrderNotSent("the connection was closed")
        if failure is None and not may_send():
            failure = OrderNotSent("no longer allowed")
        if failure is not None:
            return failure
        arrived_at = now()
        fault = self.fates.pop(0) if self.fates else None
        match fault:
            case ("late", seconds):
                incarnation = receiver.incarnation
                asyncio.get_running_loop().call_later(
                    seconds,
                    lambda: (
                        receiver.up
                        and receiver.incarnation == incarnation
                        and self._apply(
                            receiver, keys, token, arrived_at + grant_seconds
                        )
                    ),
                )
                await asyncio.sleep(timeout_seconds)
                return OrderLost("no answer")
            case "lost":
                self._apply(
                    receiver,
                    keys,
                    token,
                    arrived_at + grant_seconds * SLOW_CLOCK_FACTOR,
                )
                await asyncio.sleep(timeout_seconds)
                return OrderLost("no answer")
        valid_until = arrived_at + grant_seconds * SLOW_CLOCK_FACTOR
        if handover:
            self.handovers += 1
        if self._apply(receiver, keys, token, valid_until):
            return Accepted()
        return TokenOutdated()

    async def release(self, pool, target, keys, token, timeout_seconds):
        receiver = self._find_target(pool)
        failure = await self._deliver(receiver, target, timeout_seconds)
        if failure is not None:
            return failure
        for key in _key_groups(keys):
            receiver.holds.pop(key, None)
            receiver.seen[key] = max(token, receiver.seen.get(key, 0))
        if receiver.working_seconds > timeout_seconds:
            await asyncio.sleep(timeout_seconds)
            return OrderLost("work goes on")
        await asyncio.sleep(receiver.working_seconds)
        return Released("handover")

    def _was_reset(self, pool, receiver):
        """Whether the connections were lost because the target restarted."""
        incarnation = self._pool_incarnations.setdefault(pool, receiver.incarnation)
        if incarnation == receiver.incarnation:
            return False
        self._pool_incarnations[pool] = receiver.incarnation
        pool.lost += 1
        return True

    def _find_target(self, pool):
        return next(
            target for target in self.all.values() if target.address == pool.address
        )

    async def _deliver(self, receiver, target, timeout_seconds):
        await asyncio.sleep(ORDER_LATENCY_SECONDS)
        receiver.orders += 1
        if receiver.silent:
            await asyncio.sleep(min(0.4, timeout_seconds))
            return OrderNotSent("no connection")
        if not receiver.up:
            return OrderNotSent("refused")
        if receiver.name != target:
            return WrongTarget(receiver.name)
        return None

    def _apply(self, receiver, keys, token, valid_until):
        groups = _key_groups(keys)
        if any(receiver.seen.get(key, 0) > token for key in groups):
            return False
        for key in groups:
            self._check(receiver, key, token, valid_until)
            receiver.seen[key] = token
            receiver.holds[key] = (token, valid_until)
        return True

    def _check(self, receiver, key, token, valid_until):
        incarnation = (receiver.name, receiver.incarnation)
        if valid_until > now():
            for other in self.all.values():
                if other is not receiver and other.holding(key):
                    self.broken.append(
                        f"{key} owned by {other.name} and {receiver.name}"
                    )
        highest, accepted_by = self.accepted.get(key, (0, incarnation))
        if accepted_by != incarnation and token <= highest:
            self.broken.append(f"{key}: token {token} after {highest}")
        if token >= highest:
            self.accepted[key] = (token, incarnation)


def _key_groups(keys):
    first, last = keys
    return range(first + (-first % GRAIN), last + 1, GRAIN)
