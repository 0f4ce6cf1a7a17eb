"""Messages between the leader and the other entry hosts."""

from __future__ import annotations

from dataclasses import dataclass, field

from balsamway.peers.codec import message


@message("key-map")
@dataclass(frozen=True, slots=True)
class KeyMapNotice:
    """The owners of a service's keys, as the leader knows them."""

    epoch: int
    serial: int
    """Rises with each notice of one leadership."""
    service: str
    holders: tuple[tuple[str, int], ...]
    """The name and the incarnation of each owner."""
    lasts: tuple[int, ...]
    """The last key of each segment."""
    places: tuple[int, ...]
    """For each segment, the index of its owner in `holders`."""
    ready: tuple[bool, ...]
    """For each segment, whether its owner has accepted its grant."""
    waits_ms: tuple[int, ...]
    """For each segment, in how many milliseconds its owner is expected to
    accept its grant."""


@message("load")
@dataclass(frozen=True, slots=True)
class LoadNotice:
    """The load that an entry host saw since its last report."""

    host: str
    zone: str
    address: str
    """The address on which the host listens for its peers."""
    targets: dict[str, tuple[int, int, int, int]]
    """For each target: the requests in flight, the number of responses, and
    the number and summed milliseconds of the unqueued responses among them."""
    keys: dict[str, dict[int, int]]
    """For each service: the number of requests for each key."""
    seen: dict[str, tuple[int, int]]
    """For each service: the epoch and serial of the host's key map."""
    limits: dict[str, tuple[int, float | None, int]] = field(default_factory=dict)
    """For each target whose responses showed it since the last report: its
    incarnation, its limit in requests per second, None if it named none, and
    how many milliseconds ago that was."""
    leaving: dict[str, tuple[int, int]] = field(default_factory=dict)
    """For each target that said that it is leaving, and is not listed as
    draining: its incarnation and how many milliseconds ago it first said
    so."""
    experiences: dict[str, tuple[int, int, int, int, int, int, bool]] = field(
        default_factory=dict
    )
    """For each target whose service names a warm-up time, if it rests or
    attempts ended there: its incarnation, the attempts answered, their summed
    milliseconds, those refused, failed and without a connection, and whether
    it rests."""
    rooms: dict[str, tuple[float, bool]] = field(default_factory=dict)
    """For each service of which the host learned it: how many requests its
    targets hold for each slot, and whether full ones reset connections."""


@message("fleet")
@dataclass(frozen=True, slots=True)
class FleetNotice:
    """The load on all targets, summed by the leader over all entry hosts."""

    epoch: int
    leader: str
    address: str
    """The address on which the leader listens for its peers."""
    hosts: int
    """The number of entry hosts."""
    targets: dict[str, tuple[int, int]]
    """For each target: the requests in flight from all hosts, and its service
    time in milliseconds."""
    limits: dict[str, tuple[int, float | None, int]] | None = None
    """For some targets that have a limit or had one lately: the incarnation,
    the limit and how many milliseconds ago it was seen. None if the leader is
    of a build that hands out no tokens."""
    leaving: dict[str, tuple[int, int]] = field(default_factory=dict)
    """The targets that are leaving, in the form of `LoadNotice.leaving`."""
    cold: dict[str, tuple[int, int]] = field(default_factory=dict)
    """For each target that was seen to turn cold: its incarnation and how many
    milliseconds it remains cold."""
    paces: dict[str, tuple[int, float]] = field(default_factory=dict)
    """For each target that has a pace: its incarnation, and the requests a
    second that all hosts together may send."""
    rooms: dict[str, tuple[float, bool]] = field(default_factory=dict)
    """The median of what the hosts learned, in the form of
    `LoadNotice.rooms`."""
