"""One attempt of a request, as a target received it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiohttp import web

from balsamway.slices import ShardId, position_of

if TYPE_CHECKING:
    from collections.abc import Mapping

NO_POSITION = -1


@dataclass(frozen=True, slots=True, eq=False)
class Attempt:
    """What a target was sent of a request."""

    workspace: str
    service: str
    kind: str
    request_id: str
    key: str
    shard: ShardId | None
    epoch: int
    admitted: float
    """By the runtime's clock, in seconds."""
    deadline: float
    """By the runtime's clock, in seconds."""
    body_size: int
    attempt_id: str = ""
    """Tells the attempt from others of the same request."""

    @property
    def position(self) -> int:
        """The position of the key, or `NO_POSITION`."""
        return NO_POSITION if self.shard is None else position_of(self.key)


def parse_attempt(
    path: Mapping[str, str], headers: Mapping[str, str], body: bytes, now: float
) -> Attempt:
    """Reads an attempt from an HTTP request.

    Args:
        path: The parts of the path by name.
        headers: The headers.
        body: The body.
        now: The runtime's clock, in seconds.

    Returns:
        The attempt.

    Raises:
        web.HTTPBadRequest: If a header is missing or does not fit.
    """
    try:
        shard = headers.get("Balsamway-Shard")
        return Attempt(
            workspace=headers["Balsamway-Workspace"],
            service=path["service"],
            kind=path["kind"],
            request_id=headers["Balsamway-Request-Id"],
            key=headers.get("Balsamway-Key", ""),
            shard=None if not shard else ShardId.parse(shard),
            epoch=int(headers.get("Balsamway-Epoch", "0")),
            admitted=now,
            deadline=now + float(headers["Balsamway-Timeout-Ms"]) / 1000.0,
            body_size=len(body),
            attempt_id=headers.get("Balsamway-Attempt", ""),
        )
    except (KeyError, ValueError) as error:
        raise web.HTTPBadRequest(text=f"bad header: {error}") from error
