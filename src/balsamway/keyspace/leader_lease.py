"""The lease, in the store, under which one entry host leads."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import mode
import msgspec

from balsamway.clock import now
from balsamway.keyspace.stored_lease import StoredLease
from balsamway.store.store import (
    Absent,
    Conflict,
    StoredObject,
    Unavailable,
    WriteUnknown,
    Written,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from balsamway.store.object_store import ObjectStore

LEASE_KIND = "balsamway-leases"
LEASE_NAME = "keys"
LEASE_SECONDS = 2.2
"""How long a leader acts on a renewal. Shorter than a target's grant, so that
the next leader renews the grants before they lapse."""
RENEW_SECONDS = 0.5
CLAIM_MARGIN_SECONDS = 0.2
"""How much longer the lease must have stood still; clocks of hosts differ in
rate by less."""
POLL_SECONDS = 0.6
"""How often the others read the lease, from a copy that may be old."""
HEARD_SECONDS = 1.0
"""How long others do not read the lease after the leader told of it."""
HEARD_STEP_SECONDS = 0.1
RETRY_SECONDS = 0.1
UNREADABLE = "?"
"""Stands for the holder of a lease that cannot be read."""
READ_TRIES = 8
ASIDE_SECONDS = 4.0
"""How long a host that stood down leaves the lease to others."""

logger = logging.getLogger(__name__)


class _Lease(msgspec.Struct, frozen=True):
    epoch: int
    host: str
    """Empty after a leader resigned."""
    address: str
    beat: int


class LeaderLease(mode.Service):
    """Claims the lease when it stands still, and renews it while it leads.

    The lease is changed by conditional updates only. A claim succeeds only
    if nobody renewed since its claimant first saw that version, which is
    longer ago than the lease lasts; so the old leader's time has run out.
    """

    def __init__(
        self,
        store: ObjectStore,
        host: str,
        address: str,
        reaches_most: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        """Prepares the lease of a host that does not lead.

        Args:
            store: The store.
            host: The name of this host.
            address: Where it listens for its peers.
            reaches_most: Whether this host reaches most of the targets; one
                that does not leaves the lease to others for a while.
            rng: Spreads claims.
        """
        super().__init__()
        self._store = store
        self._host = host
        self._own_address = address
        self._reaches_most = reaches_most
        self._rng = rng
        self._known: tuple[int, _Lease] | None = None
        self._known_since = 0.0
        self._beat = 0
        self._epoch: int | None = None
        self._authority_until = float("-inf")
        self._renewal_failing = False
        self.elected = asyncio.Event()
        """Set while this host leads."""
        self._may_claim = True
        self._aside_until = float("-inf")
        self._is_first_look = True
        self._heard_at = float("-inf")
        self.on_given_up: Callable[[StoredLease], None] = _ignore
        """Called with the lease that this host stored when it gave it up."""

    @property
    def stored(self) -> StoredLease | None:
        """The lease as last stored by this host, while it leads."""
        if self._epoch is None or self._known is None:
            return None
        version, lease = self._known
        return StoredLease(version, lease.epoch, lease.host, lease.address, lease.beat)

    @property
    def epoch(self) -> int | None:
        """The epoch of this host's leadership; None if it does not lead."""
        return self._epoch

    @property
    def leader(self) -> tuple[int, str, str] | None:
        """The epoch, name and peer address of the leader last seen."""
        if self._known is None or not self._known[1].host:
            return None
        lease = self._known[1]
        return (lease.epoch, lease.host, lease.address)

    @property
    def renewal_failing(self) -> bool:
        """Whether the last renewal failed, so that the store may be away."""
        return self._renewal_failing

    def has_authority(self, epoch: int) -> bool:
        """Tells whether this host may act as leader at this moment.

        Args:
            epoch: The epoch of the leadership under which it would act.
        """
        return self._epoch == epoch and now() < self._authority_until

    def abandon(self, reason: str) -> None:
        """Stops to lead, since another host may do so.

        Args:
            reason: Why.
        """
        if self._epoch is None:
            return
        logger.warning(
            "leadership-lost", extra={"epoch": self._epoch, "reason": reason}
        )
        self._epoch = None
        self._authority_until = float("-inf")
        self.elected.clear()
        self._known = None

    def on_heard(self, stored: StoredLease) -> None:
        """Takes over what the leader says that it stored.

        Args:
            stored: The lease, which others then need not read.
        """
        if self._epoch is not None:
            return
        lease = _Lease(stored.epoch, stored.host, stored.address, stored.beat)
        if self._known is None or stored.version > self._known[0]:
            self._known = (stored.version, lease)
            self._known_since = now()
            self._is_first_look = False
            self._heard_at = now() if lease.host else float("-inf")

    async def resign(self) -> None:
        """Gives the lease up, so that another host need not wait for it."""
        self._may_claim = False
        await self._give_up("resigned")

    async def stand_down(self, reason: str) -> None:
        """Leaves the lease to another host for a while.

        Args:
            reason: Why.
        """
        self._aside_until = now() + ASIDE_SECONDS
        await self._give_up(reason)

    async def _give_up(self, reason: str) -> None:
        epoch, known = self._epoch, self._known
        if epoch is None or known is None:
            return
        self.abandon(reason)
        free = _Lease(epoch, "", "", self._beat + 1)
        body = msgspec.json.encode(free)
        match await self._store.write(LEASE_KIND, LEASE_NAME, body, known[0]):
            case Written(version=version):
                self.on_given_up(StoredLease(version, epoch, "", "", free.beat))

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            if self._epoch is None:
                await self._follow()
            else:
                await self._renew(self._epoch)

    async def _follow(self) -> None:
        if now() - self._heard_at < HEARD_SECONDS:
            await self.sleep(HEARD_STEP_SECONDS)
            return
        found = await self._store.read(LEASE_KIND, LEASE_NAME, may_be_old=True)
        match found:
            case Absent() if self._may_claim:
                await self._claim(None, 1)
                return
            case StoredObject(version=version):
                lease = _decode(found)
                if self._known is None or self._known[0] != version:
                    self._known = (version, lease)
                    self._known_since = now()
        if self._known is not None and self._may_claim and self._is_free():
            await self._claim(self._known[0], self._known[1].epoch + 1)
            if self._epoch is not None:
                return
        if isinstance(found, StoredObject):
            self._is_first_look = False
        await self.sleep(POLL_SECONDS * self._rng.uniform(0.8, 1.2))

    def _is_free(self) -> bool:
        known = self._known
        if known is None:
            return False
        stood = now() - self._known_since
        if now() < self._aside_until and stood < ASIDE_SECONDS:
            return False
        if not known[1].host:
            is_free = True
        elif self._is_first_look and self._is_own(known[1]):
            # The process that led from here has ended: this one replaced it.
            is_free = True
        else:
            is_free = stood > LEASE_SECONDS + CLAIM_MARGIN_SECONDS
        return is_free and (self._reaches_most() or stood > ASIDE_SECONDS)

    def _is_own(self, lease: _Lease) -> bool:
        return (lease.host, lease.address) == (self._host, self._own_address)

    async def _claim(self, version: int | None, epoch: int) -> None:
        lease = _Lease(epoch, self._host, self._own_address, self._next_beat())
        sent = now()
        if not await self._put(lease, version):
            self._known = None if version is None else self._known
            await self.sleep(RETRY_SECONDS * self._rng.uniform(0.5, 1.5))
            return
        if now() >= sent + LEASE_SECONDS:
            self.abandon("the claim took longer than the lease")
            return
        self._epoch = epoch
        self._authority_until = sent + LEASE_SECONDS
        self.elected.set()
        logger.info("leadership-taken", extra={"epoch": epoch})

    async def _renew(self, epoch: int) -> None:
        known = self._known
        if known is None:
            self.abandon("the lease is not known")
            return
        lease = _Lease(epoch, self._host, self._own_address, self._next_beat())
        sent = now()
        renewed = await self._put(lease, known[0])
        if self._epoch != epoch:
            return
        self._renewal_failing = not renewed
        if renewed:
            self._authority_until = max(self._authority_until, sent + LEASE_SECONDS)
            await self.sleep(RENEW_SECONDS)
            return
        if now() >= self._authority_until:
            self.abandon("the lease ran out")
            return
        await self.sleep(RETRY_SECONDS)

    async def _put(self, lease: _Lease, version: int | None) -> bool:
        """Writes the lease.

        Returns:
            Whether this very lease is stored, and thus known.
        """
        body = msgspec.json.encode(lease)
        match await self._store.write(LEASE_KIND, LEASE_NAME, body, version):
            case Written(version=written):
                self._know(written, lease)
                return True
            case Conflict(current=StoredObject() as current):
                return self._judge_current(current, lease)
            case Conflict():
                self._lose("the lease was removed")
                return False
            case Unavailable():
                return False
            case WriteUnknown():
                return await self._read_back(lease, version)

    async def _read_back(self, lease: _Lease, version: int | None) -> bool:
        for _ in range(READ_TRIES):
            found = await self._store.read(LEASE_KIND, LEASE_NAME)
            if isinstance(found, StoredObject):
                if found.version == version:
                    return False
                return self._judge_current(found, lease)
            if isinstance(found, Absent):
                return False
            await self.sleep(RETRY_SECONDS)
        return False

    def _judge_current(self, current: StoredObject, lease: _Lease) -> bool:
        found = _decode(current)
        self._know(current.version, found)
        if found == lease:
            return True
        if (found.epoch, found.host) != (lease.epoch, self._host):
            self._lose(f"{found.host or 'nobody'} holds epoch {found.epoch}")
        return False

    def _lose(self, reason: str) -> None:
        if self._epoch is not None:
            known = self._known
            since = self._known_since
            self.abandon(reason)
            self._known, self._known_since = known, since

    def _know(self, version: int, lease: _Lease) -> None:
        if self._known is None or self._known[0] != version:
            self._known = (version, lease)
            self._known_since = now()

    def _next_beat(self) -> int:
        self._beat += 1
        return self._beat


def _ignore(stored: StoredLease) -> None:
    """Stands in until somebody wants to know."""


def _decode(found: StoredObject) -> _Lease:
    try:
        return msgspec.json.decode(found.body, type=_Lease)
    except msgspec.MsgspecError as error:
        logger.warning("lease-unreadable", extra={"reason": str(error)})
        return _Lease(0, UNREADABLE, "", 0)
