"""What the ownership modules of an entry host share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from balsamway.membership.directory import Directory
    from balsamway.peers.peers import Peers
    from balsamway.settings import Timing
    from balsamway.slices import Witness
    from balsamway.store import Store
    from balsamway.targets.control import TargetControl


@dataclass(frozen=True, slots=True)
class Cluster:
    """This host's identity and interfaces to store, peers and targets."""

    me: Witness
    """This host and the incarnation of its daemon."""
    store: Store
    peers: Peers
    control: TargetControl
    """Sends orders to targets."""
    directory: Directory
    """The entry hosts and targets that are known."""
    timing: Timing
    rng: random.Random

    @property
    def clock_rate_factor(self) -> float:
        """The factor that covers the difference in rate between two clocks.

        A duration by another host's clock, multiplied by this factor, is not
        shorter by this host's clock.
        """
        return 1 + self.timing.clock_rate_allowance

    @property
    def zones(self) -> dict[str, str]:
        """The availability zone of each entry host."""
        return {host.name: host.zone for host in self.directory.entry_hosts()}

    def new_change_id(self) -> str:
        """Draw an identifier for a write of the record.

        The writer recognizes its own write by it if the answer was lost.

        Returns:
            The daemon's incarnation and a random number, in hexadecimal
            digits.
        """
        return f"{self.me.incarnation:x}-{self.rng.getrandbits(64):016x}"
