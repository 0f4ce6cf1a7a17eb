"""A complete HTTP response."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from multidict import CIMultiDictProxy


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A response that was received to its end."""

    status: int
    headers: CIMultiDictProxy[str]
    body: bytes
