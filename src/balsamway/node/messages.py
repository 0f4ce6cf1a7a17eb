"""Messages by which hosts help each other where the store does not answer."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message


@message("objects-query")
@dataclass(frozen=True, slots=True)
class ObjectsQuery:
    """Asks for the objects of some kinds, unless they are known already."""

    revisions: dict[str, int]
    """For each kind the revision up to which it is known."""


@message("objects-answer")
@dataclass(frozen=True, slots=True)
class ObjectsAnswer:
    """The objects of the kinds that the asked host knows better."""

    revisions: dict[str, int]
    objects: dict[str, list[tuple[str, int, bytes]]]
    """For each kind the name, version and body of each object."""
    leader: tuple[int, str, str] | None
    """The epoch, name and peer address of the leader."""
    peers: dict[str, str]
    """The peer addresses that the asked host knows."""
