"""The lease in the store that lets one entry host lead."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import mode

from balsamway.clock import now
from balsamway.keyspace.lease_object import LeaseObject
from balsamway.keyspace.stored_lease import Lease, StoredLease, absent_lease
from balsamway.store.era import first_number_in, was_restored
from balsamway.store.store import Absent, Unavailable

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from balsamway.store.object_store import ObjectStore

LEASE_DURATION_SECONDS = 2.2
"""How long a leader may act after a successful renewal. This is shorter than a
target's grant duration, so that the next leader renews the grants before they
expire."""
RENEWAL_INTERVAL_SECONDS = 0.5
"""The time between two renewals of the lease."""
CLAIM_MARGIN_SECONDS = 0.2
"""How much longer than its duration the lease must be unchanged before it is
claimed. The clocks of hosts differ in rate by less than this."""
POLL_INTERVAL_SECONDS = 0.6
"""The mean interval at which the other hosts read the lease. They use a stale
read."""
LEADER_REPORT_EXPIRY_SECONDS = 1.0
"""How long other hosts do not read the lease after the leader reported it."""
LEADER_REPORT_CHECK_SECONDS = 0.1
"""The interval at which other hosts check the age of the leader's report."""
RETRY_DELAY_SECONDS = 0.1
"""The delay after a failed renewal, and the mean delay after a failed
claim."""
STAND_DOWN_SECONDS = 4.0
"""How long a host that stood down leaves the lease to other hosts."""

logger = logging.getLogger(__name__)


class LeaderLease(mode.Service):
    """Claims the lease when its leader is lost, and renews it while leading.

    The lease is only changed by conditional updates. A claim succeeds only if
    the lease was not renewed since the claiming host first saw that version.
    That is longer ago than the lease lasts, so the earlier leader's lease has
    expired.

    A restored store has lost renewals, so what its lease says of the leader
    is not relied on. It is claimed only after the same time, which begins when
    the claiming host first sees the restored lease. The leader itself writes
    its lease again as long as it has authority.
    """

    def __init__(
        self,
        store: ObjectStore,
        host: str,
        address: str,
        reaches_most_targets: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        """Create the lease of a host that does not lead.

        Args:
            store: The object store.
            host: The name of this host.
            address: The address on which this host listens for its peers.
            reaches_most_targets: Tells whether this host reaches most of the
                targets. If it does not, it leaves the lease to other hosts for
                a while.
            rng: Spreads the claims and reads of the hosts over time.
        """
        super().__init__()
        self._lease_object = LeaseObject(store)
        self._host = host
        self._own_address = address
        self._reaches_most_targets = reaches_most_targets
        self._rng = rng
        self._known: StoredLease | None = None
        self._known_since = 0.0
        self._beat = 0
        self._epoch: int | None = None
        self._authority_until = float("-inf")
        self._is_renewal_failing = False
        self.elected = asyncio.Event()
        """Set while this host leads."""
        self._may_claim = True
        self._standing_down_until = float("-inf")
        self._is_first_read = True
        self._leader_reported_at = float("-inf")
        self.on_resignation: Callable[[StoredLease], None] = _ignore
        """Called with the lease that this host stored to release it."""

    @property
    def stored_lease(self) -> StoredLease | None:
        """The lease as this host stored it; None if it does not lead."""
        if self._epoch is None or self._known is None:
            return None
        return self._known

    @property
    def epoch(self) -> int | None:
        """The epoch of this host's leadership, or None if it does not lead."""
        return self._epoch

    @property
    def leader(self) -> tuple[int, str, str] | None:
        """The epoch, host name and peer address of the last known leader."""
        if self._known is None or not self._known.lease.host:
            return None
        lease = self._known.lease
        return (lease.epoch, lease.host, lease.address)

    @property
    def era(self) -> int | None:
        """The era of the store in which this host leads, or None."""
        stored = self.stored_lease
        return None if stored is None else stored.era

    @property
    def is_renewal_failing(self) -> bool:
        """Whether the last renewal failed, so the store may be unavailable."""
        return self._is_renewal_failing

    def has_authority(self, epoch: int) -> bool:
        """Return whether this host may act as leader at this moment.

        Args:
            epoch: The epoch of the leadership under which it would act.
        """
        return self._epoch == epoch and now() < self._authority_until

    def abandon(self, reason: str) -> None:
        """End this host's leadership without writing to the store.

        Args:
            reason: Why, for the log.
        """
        if self._epoch is not None:
            self._end_leadership(reason)
            self._known = None

    def on_leader_reported(self, stored: StoredLease) -> None:
        """Adopt the lease that the leader reports to have stored.

        Args:
            stored: The lease. This host then need not read it for a while.
        """
        if self._epoch is not None:
            return
        if self._update_known(stored):
            self._is_first_read = False
            self._leader_reported_at = now() if stored.lease.host else float("-inf")

    async def resign(self) -> None:
        """Release the lease for good, so that another host can claim it."""
        self._may_claim = False
        await self._release_lease("resigned")

    async def stand_down(self, reason: str) -> None:
        """Release the lease and leave it to other hosts for a while.

        Args:
            reason: Why, for the log.
        """
        self._standing_down_until = now() + STAND_DOWN_SECONDS
        await self._release_lease(reason)

    async def _release_lease(self, reason: str) -> None:
        epoch, known = self._epoch, self._known
        if epoch is None or known is None:
            return
        self.abandon(reason)
        released = Lease(epoch, "", "", self._beat + 1, known.era)
        found = await self._lease_object.put(released, known.replaces)
        if isinstance(found, StoredLease) and _is_stored(released, found):
            self.on_resignation(found)

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            if self._epoch is None:
                await self._follow()
            else:
                await self._renew(self._epoch)

    async def _follow(self) -> None:
        """Read the lease unless it was just reported, and claim it if free."""
        if now() - self._leader_reported_at < LEADER_REPORT_EXPIRY_SECONDS:
            await self.sleep(LEADER_REPORT_CHECK_SECONDS)
            return
        match await self._lease_object.read_stale():
            case Absent(era=era):
                if await self._claim_absent(era):
                    return
            case StoredLease() as found:
                self._update_known(found)
                if await self._claim_if_free():
                    return
                self._is_first_read = False
            case _:
                if await self._claim_if_free():
                    return
        await self.sleep(POLL_INTERVAL_SECONDS * self._rng.uniform(0.8, 1.2))

    async def _claim_absent(self, era: int) -> bool:
        """Claim a lease that does not exist, if it was never written.

        Args:
            era: The era of the store.

        Returns:
            Whether the lease need not be read again after the usual time,
            because it was claimed just now or this host leads.
        """
        known = self._known
        if known is None or known.era < era or known.replaces is not None:
            self._known, self._known_since = absent_lease(era), now()
        if not was_restored(era) and self._may_claim:
            await self._claim(absent_lease(era))
            return True
        return await self._claim_if_free()

    async def _claim_if_free(self) -> bool:
        """Claim the last known lease if it is free.

        Returns:
            Whether this host leads now.
        """
        known = self._known
        if known is None or not self._may_claim or not self._is_free(known):
            return False
        if not known.is_current and not await self._is_latest(known):
            return False
        await self._claim(known)
        return self._epoch is not None

    async def _is_latest(self, known: StoredLease) -> bool:
        """Return whether the last known lease is still stored.

        A stale read may return a lease of before a restore as one of the
        present era, whose version may be given out again.

        Args:
            known: The last known lease.
        """
        match await self._lease_object.read():
            case StoredLease() as found:
                self._adopt(found)
                return found == known
            case Absent(era=era):
                self._adopt(absent_lease(era))
                return absent_lease(era) == known
        return False

    def _is_free(self, known: StoredLease) -> bool:
        """Return whether this host may claim a lease.

        Args:
            known: The last known lease.
        """
        lease = known.lease
        unchanged_seconds = now() - self._known_since
        if now() < self._standing_down_until and unchanged_seconds < STAND_DOWN_SECONDS:
            return False
        # An earlier process on this host that led has been replaced by this
        # one.
        is_released = not lease.host or (self._is_first_read and self._is_own(lease))
        is_free = (known.is_current and is_released) or (
            unchanged_seconds > LEASE_DURATION_SECONDS + CLAIM_MARGIN_SECONDS
        )
        return is_free and (
            self._reaches_most_targets() or unchanged_seconds > STAND_DOWN_SECONDS
        )

    def _is_own(self, lease: Lease) -> bool:
        """Return whether a lease names this host and its address."""
        return (lease.host, lease.address) == (self._host, self._own_address)

    async def _claim(self, known: StoredLease) -> None:
        epoch = max(known.lease.epoch, first_number_in(known.era)) + 1
        lease = self._own_lease(epoch, known.era)
        sent_at = now()
        if not await self._put(lease, known.replaces):
            if known.replaces is None and not was_restored(known.era):
                self._known = None
            await self.sleep(RETRY_DELAY_SECONDS * self._rng.uniform(0.5, 1.5))
            return
        if now() >= sent_at + LEASE_DURATION_SECONDS:
            self.abandon("the claim took longer than the lease")
            return
        self._epoch = epoch
        self._authority_until = sent_at + LEASE_DURATION_SECONDS
        self.elected.set()
        logger.info(
            "leadership-taken",
            extra={
                "epoch": epoch,
                "era": known.era,
                "replaced": known.replaces,
                "is_current": known.is_current,
            },
        )

    async def _renew(self, epoch: int) -> None:
        known = self._known
        if known is None:
            self.abandon("the lease is not known")
            return
        lease = self._own_lease(epoch, known.era)
        sent_at = now()
        is_renewed = await self._put(lease, known.replaces)
        if self._epoch != epoch:
            return
        self._is_renewal_failing = not is_renewed
        if is_renewed:
            self._authority_until = max(
                self._authority_until, sent_at + LEASE_DURATION_SECONDS
            )
            await self.sleep(RENEWAL_INTERVAL_SECONDS)
            return
        if now() >= self._authority_until:
            self.abandon("the lease expired without a renewal")
            return
        await self.sleep(RETRY_DELAY_SECONDS)

    async def _put(self, lease: Lease, version: int | None) -> bool:
        """Write the lease, and end the leadership if another host leads.

        Args:
            lease: The lease.
            version: The version to replace, or None to create the lease.

        Returns:
            Whether exactly this lease is stored.
        """
        match await self._lease_object.put(lease, version):
            case StoredLease(lease=found) as stored:
                self._adopt(stored)
                if _is_stored(lease, stored):
                    return True
                if stored.era > lease.era and not stored.is_current:
                    self._log_restore(lease, stored)
                elif (found.epoch, found.host) != (lease.epoch, self._host):
                    reason = f"{found.host or 'nobody'} holds epoch {found.epoch}"
                    self._end_leadership(reason)
            case Absent(era=era) if era > lease.era:
                self._adopt(absent_lease(era))
                self._log_restore(lease, absent_lease(era))
            case Absent():
                self._end_leadership("the lease was removed")
            case Unavailable():
                pass
        return False

    def _log_restore(self, lease: Lease, stored: StoredLease) -> None:
        """Log that the store was restored from before this host's lease."""
        logger.warning(
            "lease-lost-by-restore",
            extra={
                "epoch": lease.epoch,
                "era": stored.era,
                "version": stored.version,
                "leads": self._epoch is not None,
            },
        )

    def _end_leadership(self, reason: str) -> None:
        if self._epoch is None:
            return
        logger.warning(
            "leadership-lost", extra={"epoch": self._epoch, "reason": reason}
        )
        self._epoch = None
        self._authority_until = float("-inf")
        self.elected.clear()

    def _update_known(self, stored: StoredLease) -> bool:
        """Replace the last known lease, unless the given one is not newer.

        Returns:
            Whether the given lease is newer.
        """
        if self._known is not None and stored.version <= self._known.version:
            return False
        self._known = stored
        self._known_since = now()
        return True

    def _adopt(self, stored: StoredLease) -> None:
        """Replace the last known lease by what a current response says.

        Unlike the result of a stale read, it is the latest version even if
        its number is lower than that of a version that was read before.
        """
        if stored != self._known:
            if self._known is not None and stored.era < self._known.era:
                return
            self._known = stored
            self._known_since = now()

    def _own_lease(self, epoch: int, era: int) -> Lease:
        beat = self._next_beat()
        return Lease(epoch, self._host, self._own_address, beat, era)

    def _next_beat(self) -> int:
        self._beat += 1
        return self._beat


def _is_stored(lease: Lease, found: StoredLease) -> bool:
    """Return whether a lease was stored in the era that its writer knew.

    A write may meet a restored store in which the version that it replaces was
    given out once more, to another host's lease.
    """
    return found.lease == lease and found.is_current


def _ignore(stored: StoredLease) -> None:
    """Do nothing; the default of `LeaderLease.on_resignation`."""
