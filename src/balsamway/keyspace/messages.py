"""Messages between the leader and the other entry hosts."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message


@message("key-map")
@dataclass(frozen=True, slots=True)
class KeyMapNotice:
    """The holders of a service's keys, as the leader knows them."""

    epoch: int
    serial: int
    """Rises with each notice of one leadership."""
    service: str
    holders: tuple[tuple[str, int], ...]
    """The name and the incarnation of each holder."""
    lasts: tuple[int, ...]
    """The last key of each segment."""
    places: tuple[int, ...]
    """The place of each segment's holder among the holders."""
    ready: tuple[bool, ...]
    """Whether the holder of each segment has accepted its grant."""
    waits_ms: tuple[int, ...]
    """How many milliseconds that should take, for each segment."""


@message("load")
@dataclass(frozen=True, slots=True)
class LoadNotice:
    """What an entry host saw since its last notice."""

    host: str
    zone: str
    address: str
    """Where the host listens for its peers."""
    targets: dict[str, tuple[int, int, int, int]]
    """For each target: requests in flight, answers, and the number and summed
    milliseconds of those answers that found no queue."""
    keys: dict[str, dict[int, int]]
    """For each service: how many requests came for each key."""
    seen: dict[str, tuple[int, int]]
    """For each service: the epoch and serial of the last key map."""


@message("fleet")
@dataclass(frozen=True, slots=True)
class FleetNotice:
    """What the leader sums up from the notices of all entry hosts."""

    epoch: int
    leader: str
    address: str
    """Where the leader listens for its peers."""
    hosts: int
    """How many entry hosts there are."""
    targets: dict[str, tuple[int, int]]
    """For each target: requests in flight from all hosts, and the milliseconds
    that a request takes there without a queue."""
