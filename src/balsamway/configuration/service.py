"""One service of a workspace."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.configuration.request_kind import RequestKind


@dataclass(frozen=True, slots=True)
class Service:
    """A service, its kinds of requests, and what its targets can take."""

    name: str
    exclusive_keys: bool
    """Whether each key must have one owner among the targets."""
    kinds: tuple[RequestKind, ...]
    slots: int
    """How many requests a target runs at once."""
    connections: int
    """How many connections a target accepts."""
    instances: int
    """How many targets the workspace plans for."""
    shards: int = 1
    slices: int = 256
    """How many slices each shard starts with."""
    gateways_at_most: int = 16
    """How many entry hosts may connect at once, replacements included."""

    def kind(self, name: str) -> RequestKind | None:
        """Finds a kind of request.

        Args:
            name: The kind's name.

        Returns:
            The kind, or None where the service has none of this name.
        """
        return next((kind for kind in self.kinds if kind.name == name), None)
