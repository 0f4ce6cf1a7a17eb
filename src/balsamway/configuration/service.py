"""One service of a workspace."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.configuration.request_kind import RequestKind


@dataclass(frozen=True, slots=True)
class Service:
    """A service, its kinds of requests and the limits of its targets."""

    name: str
    exclusive_keys: bool
    """Whether each key must have one owner among the targets."""
    kinds: tuple[RequestKind, ...]
    slots: int
    """How many requests a target runs at the same time."""
    connections: int
    """How many connections a target accepts."""
    instances: int
    """How many targets are planned."""
    shards: int = 1
    slices: int = 256
    """How many slices each shard starts with."""
    gateways_at_most: int = 16
    """How many entry hosts, replacements included, may connect at the same
    time."""

    def kind(self, name: str) -> RequestKind | None:
        """Return a kind of request.

        Args:
            name: The kind's name.

        Returns:
            The kind, or None if the service has none of this name.
        """
        return next((kind for kind in self.kinds if kind.name == name), None)
