"""The identity of a shard."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class ShardId:
    """Identifies a part of the key space of a service with exclusive keys."""

    workspace: str
    service: str
    index: int = 0

    def __str__(self) -> str:
        return f"{self.workspace}/{self.service}/{self.index}"

    @property
    def object_name(self) -> str:
        """The name of the shard's record in the object store."""
        return f"shards/{self}"

    @classmethod
    def parse(cls, text: str) -> ShardId:
        """Parse the text form of a shard's identity.

        Args:
            text: The text as `str` returns it: `workspace/service/index`.

        Returns:
            The shard's identity.

        Raises:
            ValueError: If the text is not three parts separated by slashes,
                or the last part is not a number.
        """
        workspace, service, index = text.split("/")
        return cls(workspace, service, int(index))
