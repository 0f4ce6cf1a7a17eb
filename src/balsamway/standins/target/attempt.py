"""An attempt of a request as the target receives it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiohttp import web

from balsamway.slices import ShardId, position_of

if TYPE_CHECKING:
    from collections.abc import Mapping

NO_POSITION = -1
"""The position of an attempt that belongs to no shard."""


@dataclass(frozen=True, slots=True, eq=False)
class Attempt:
    """The contents of one attempt and the times that the target derives."""

    workspace: str
    service: str
    kind: str
    request_id: str
    key: str
    shard: ShardId | None
    epoch: int
    """The fencing token of the owner for which the attempt is meant."""
    admitted_at: float
    """The event loop time of arrival, in seconds."""
    deadline: float
    """The event loop time when the caller's timeout ends, in seconds."""
    body_size: int
    """The size of the body, in bytes."""
    attempt_id: str = ""
    """Distinguishes the attempt from others of the same request."""

    @property
    def position(self) -> int:
        """The hash position of the key, or `NO_POSITION` without a shard."""
        return NO_POSITION if self.shard is None else position_of(self.key)


def parse_attempt(
    path: Mapping[str, str], headers: Mapping[str, str], body: bytes, now: float
) -> Attempt:
    """Parse an attempt from the parts of an HTTP request.

    Args:
        path: The variable parts of the path, by name.
        headers: The request headers.
        body: The request body.
        now: The current event loop time, in seconds.

    Returns:
        The parsed attempt.

    Raises:
        web.HTTPBadRequest: If a required header is missing or a header
            cannot be parsed.
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
            admitted_at=now,
            deadline=now + float(headers["Balsamway-Timeout-Ms"]) / 1000.0,
            body_size=len(body),
            attempt_id=headers.get("Balsamway-Attempt", ""),
        )
    except (KeyError, ValueError) as error:
        raise web.HTTPBadRequest(text=f"bad header: {error}") from error
