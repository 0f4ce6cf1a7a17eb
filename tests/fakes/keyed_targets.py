"""Targets that hold keys, and notice when two of them do."""

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

ORDER_SECONDS = 0.003
SLOW_CLOCK = 1.02
"""The targets' clocks run slow by as much as is allowed."""
GRAIN = 64
"""Keys are looked at in groups of this size."""


def now():
    return asyncio.get_running_loop().time()


@dataclass
class KeyedTarget:
    name: str
    incarnation: int = 1
    address: str = ""
    up: bool = True
    silent: bool = False
    """Cut off: orders hang, and their bytes are lost with the connection."""
    working_seconds: float = 0.0
    holds: dict = field(default_factory=dict)
    """For each key the token and the end of its grant."""
    seen: dict = field(default_factory=dict)
    """For each key the highest token seen."""
    orders: int = 0

    def entry(self, draining=False):
        return TargetEntry(
            self.name, self.incarnation, "k", self.address, "z", 3, draining, 0.0
        )

    def holding(self, key):
        token, until = self.holds.get(key, (0, 0.0))
        return self.up and until > now() and token


class KeyedTargets:
    """Implements `TargetControl` over some targets, with faults."""

    def __init__(self, *names):
        self.all = {
            name: KeyedTarget(name, address=f"10.0.0.{number}:80")
            for number, name in enumerate(names, 1)
        }
        self.fates = []
        """Decides each grant: None, `lost`, `("late", seconds)`."""
        self.broken = []
        """What must never happen, and did."""
        self.accepted = {}
        """For each key the highest token that a target took, and which did."""
        self._lives = {}
        """Which run of its target each pool is connected to."""
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
        found = [one.name for one in self.all.values() if one.holding(key)]
        return found[0] if found else None

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
        found = self._at(pool)
        answer = await self._reach(found, target, timeout_seconds)
        if answer is None and self._was_reset(pool, found):
            answer = OrderNotSent("the connection was closed")
        if answer is None and not may_send():
            answer = OrderNotSent("no longer allowed")
        if answer is not None:
            return answer
        arrived = now()
        fate = self.fates.pop(0) if self.fates else None
        match fate:
            case ("late", seconds):
                life = found.incarnation
                asyncio.get_running_loop().call_later(
                    seconds,
                    lambda: (
                        found.up
                        and found.incarnation == life
                        and self._apply(found, keys, token, arrived + grant_seconds)
                    ),
                )
                await asyncio.sleep(timeout_seconds)
                return OrderLost("no answer")
            case "lost":
                self._apply(found, keys, token, arrived + grant_seconds * SLOW_CLOCK)
                await asyncio.sleep(timeout_seconds)
                return OrderLost("no answer")
        until = arrived + grant_seconds * SLOW_CLOCK
        if handover:
            self.handovers += 1
        if self._apply(found, keys, token, until):
            return Accepted()
        return TokenOutdated()

    async def release(self, pool, target, keys, token, timeout_seconds):
        found = self._at(pool)
        answer = await self._reach(found, target, timeout_seconds)
        if answer is not None:
            return answer
        for key in _grains(keys):
            found.holds.pop(key, None)
            found.seen[key] = max(token, found.seen.get(key, 0))
        if found.working_seconds > timeout_seconds:
            await asyncio.sleep(timeout_seconds)
            return OrderLost("work goes on")
        await asyncio.sleep(found.working_seconds)
        return Released("handover")

    def _was_reset(self, pool, found):
        """A target that started again has lost its connections."""
        life = self._lives.setdefault(pool, found.incarnation)
        if life == found.incarnation:
            return False
        self._lives[pool] = found.incarnation
        pool.lost += 1
        return True

    def _at(self, pool):
        return next(one for one in self.all.values() if one.address == pool.address)

    async def _reach(self, found, target, timeout_seconds):
        await asyncio.sleep(ORDER_SECONDS)
        found.orders += 1
        if found.silent:
            await asyncio.sleep(min(0.4, timeout_seconds))
            return OrderNotSent("no connection")
        if not found.up:
            return OrderNotSent("refused")
        if found.name != target:
            return WrongTarget(found.name)
        return None

    def _apply(self, found, keys, token, until):
        grains = _grains(keys)
        if any(found.seen.get(key, 0) > token for key in grains):
            return False
        for key in grains:
            self._check(found, key, token, until)
            found.seen[key] = token
            found.holds[key] = (token, until)
        return True

    def _check(self, found, key, token, until):
        life = (found.name, found.incarnation)
        if until > now():
            for other in self.all.values():
                if other is not found and other.holding(key):
                    self.broken.append(f"{key} held by {other.name} and {found.name}")
        highest, by = self.accepted.get(key, (0, life))
        if by != life and token <= highest:
            self.broken.append(f"{key}: token {token} after {highest}")
        if token >= highest:
            self.accepted[key] = (token, life)


def _grains(keys):
    first, last = keys
    return range(first + (-first % GRAIN), last + 1, GRAIN)
