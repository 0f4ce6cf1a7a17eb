"""The verdict on a request or attempt: whether it may have run."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Mapping

    from balsamway.outcome.reason import Reason


@dataclass(frozen=True, slots=True)
class Completed:
    """The target executed the request and its complete response arrived."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request is known not to have run, so it can be sent again."""

    reason: Reason
    detail: str = ""
    retry_after_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The request may or may not have run."""

    reason: Reason
    detail: str = ""


Verdict: TypeAlias = Completed | NotRun | MayHaveRun
