"""What an entry host's ownership modules share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from balsamway.membership.host_directory import HostDirectory
    from balsamway.peers.peers import Peers
    from balsamway.settings import Timing
    from balsamway.slices import Witness
    from balsamway.store import Store
    from balsamway.targets.control import TargetControl


@dataclass(frozen=True, slots=True)
class HostContext:
    """This host and the interfaces to everything around it."""

    own_witness: Witness
    store: Store
    peers: Peers
    control: TargetControl
    directory: HostDirectory
    timing: Timing
    rng: random.Random

    @property
    def allowance(self) -> float:
        """The factor that covers the difference between two clocks."""
        return 1 + self.timing.clock_rate_allowance

    @property
    def zones(self) -> dict[str, str]:
        """The availability zone of each entry host."""
        return {host.name: host.zone for host in self.directory.entry_hosts()}

    def change_id(self) -> str:
        """Draws the name of a write, to tell it after a lost answer.

        Returns:
            The run of this daemon and a number, in hexadecimal digits.
        """
        return f"{self.own_witness.incarnation:x}-{self.rng.getrandbits(64):016x}"
