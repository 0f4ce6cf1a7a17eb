"""A whole answer as it came over a connection."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from multidict import CIMultiDictProxy


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """An answer of which the end was received."""

    status: int
    headers: CIMultiDictProxy[str]
    body: bytes
