"""The lease, in the store, under which one entry host leads."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import mode

from balsamway.clock import now
from balsamway.keyspace.lease_object import LeaseObject
from balsamway.keyspace.stored_lease import Lease, StoredLease
from balsamway.store.store import Absent, Unavailable

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from balsamway.store.object_store import ObjectStore

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
ASIDE_SECONDS = 4.0
"""How long a host that stood down leaves the lease to others."""

logger = logging.getLogger(__name__)


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
        reaches_most_targets: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        """Prepares the lease of a host that does not lead.

        Args:
            store: The store.
            host: The name of this host.
            address: Where it listens for its peers.
            reaches_most_targets: Whether this host reaches most of the
                targets; one that does not leaves the lease to others for a
                while.
            rng: Spreads claims.
        """
        super().__init__()
        self._objects = LeaseObject(store)
        self._host = host
        self._own_address = address
        self._reaches_most_targets = reaches_most_targets
        self._rng = rng
        self._known: StoredLease | None = None
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
        self.on_resignation: Callable[[StoredLease], None] = _ignore
        """Called with the lease that this host stored when it gave it up."""

    @property
    def stored_lease(self) -> StoredLease | None:
        """The lease as last stored by this host, while it leads."""
        if self._epoch is None or self._known is None:
            return None
        return self._known

    @property
    def epoch(self) -> int | None:
        """The epoch of this host's leadership; None if it does not lead."""
        return self._epoch

    @property
    def leader(self) -> tuple[int, str, str] | None:
        """The epoch, name and peer address of the leader last seen."""
        if self._known is None or not self._known.lease.host:
            return None
        lease = self._known.lease
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
        if self._epoch is not None:
            self._end_leadership(reason)
            self._known = None

    def on_leader_reported(self, stored: StoredLease) -> None:
        """Takes over what the leader says that it stored.

        Args:
            stored: The lease, which others then need not read.
        """
        if self._epoch is not None:
            return
        if self._know(stored):
            self._is_first_look = False
            self._heard_at = now() if stored.lease.host else float("-inf")

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
        free = Lease(epoch, "", "", self._beat + 1)
        found = await self._objects.put(free, known.version)
        if isinstance(found, StoredLease) and found.lease == free:
            self.on_resignation(found)

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
        match await self._objects.read_old():
            case Absent() if self._may_claim:
                await self._claim(None, 1)
                return
            case StoredLease() as found:
                self._know(found)
                if await self._claim_if_free():
                    return
                self._is_first_look = False
            case _:
                if await self._claim_if_free():
                    return
        await self.sleep(POLL_SECONDS * self._rng.uniform(0.8, 1.2))

    async def _claim_if_free(self) -> bool:
        """Claims the lease that is known, if nobody holds it.

        Returns:
            Whether this host leads.
        """
        known = self._known
        if known is None or not self._may_claim or not self._is_free(known.lease):
            return False
        await self._claim(known.version, known.lease.epoch + 1)
        return self._epoch is not None

    def _is_free(self, lease: Lease) -> bool:
        stood = now() - self._known_since
        if now() < self._aside_until and stood < ASIDE_SECONDS:
            return False
        if not lease.host:
            is_free = True
        elif self._is_first_look and self._is_own(lease):
            # The process that led from here has ended: this one replaced it.
            is_free = True
        else:
            is_free = stood > LEASE_SECONDS + CLAIM_MARGIN_SECONDS
        return is_free and (self._reaches_most_targets() or stood > ASIDE_SECONDS)

    def _is_own(self, lease: Lease) -> bool:
        return (lease.host, lease.address) == (self._host, self._own_address)

    async def _claim(self, version: int | None, epoch: int) -> None:
        lease = Lease(epoch, self._host, self._own_address, self._next_beat())
        sent = now()
        if not await self._put(lease, version):
            if version is None:
                self._known = None
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
        lease = Lease(epoch, self._host, self._own_address, self._next_beat())
        sent = now()
        renewed = await self._put(lease, known.version)
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

    async def _put(self, lease: Lease, version: int | None) -> bool:
        """Writes the lease.

        Returns:
            Whether this very lease is stored, and thus known.
        """
        match await self._objects.put(lease, version):
            case StoredLease(lease=found) as stored:
                self._know(stored)
                if found == lease:
                    return True
                if (found.epoch, found.host) != (lease.epoch, self._host):
                    reason = f"{found.host or 'nobody'} holds epoch {found.epoch}"
                    self._end_leadership(reason)
            case Absent():
                self._end_leadership("the lease was removed")
            case Unavailable():
                pass
        return False

    def _end_leadership(self, reason: str) -> None:
        if self._epoch is None:
            return
        logger.warning(
            "leadership-lost", extra={"epoch": self._epoch, "reason": reason}
        )
        self._epoch = None
        self._authority_until = float("-inf")
        self.elected.clear()

    def _know(self, stored: StoredLease) -> bool:
        """Takes over a version of the lease, unless it is known or older.

        Returns:
            Whether it is new.
        """
        if self._known is not None and stored.version <= self._known.version:
            return False
        self._known = stored
        self._known_since = now()
        return True

    def _next_beat(self) -> int:
        self._beat += 1
        return self._beat


def _ignore(stored: StoredLease) -> None:
    """Stands in until somebody wants to know."""
