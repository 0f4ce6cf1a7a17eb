"""The name of a shard."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class ShardId:
    """One part of the key space of a service with exclusive keys."""

    workspace: str
    service: str
    index: int = 0

    def __str__(self) -> str:
        return f"{self.workspace}/{self.service}/{self.index}"

    @property
    def object_name(self) -> str:
        """The name of the shard's record in the store."""
        return f"shards/{self}"

    @classmethod
    def parse(cls, text: str) -> ShardId:
        """Reads a shard's name.

        Args:
            text: The name as `str` gives it.

        Returns:
            The shard's name.

        Raises:
            ValueError: If the text is not three parts with slashes between.
        """
        workspace, service, index = text.split("/")
        return cls(workspace, service, int(index))
