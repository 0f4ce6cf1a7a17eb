"""Decode what targets say of themselves in the heads of their responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.platform import names

if TYPE_CHECKING:
    from multidict import CIMultiDictProxy

LEAVING_VALUE = "1"
"""The value that says that the target is leaving; no other has a meaning."""


def decode_leaving(headers: CIMultiDictProxy[str]) -> bool:
    """Return whether the target says that it is leaving.

    Args:
        headers: The headers of its response.
    """
    return LEAVING_VALUE in _header_texts(headers, names.LEAVING_HEADER)


def _header_texts(headers: CIMultiDictProxy[str], name: str) -> list[str]:
    """Return the comma-separated values of a header, of all its lines."""
    return [
        text.strip() for value in headers.getall(name, ()) for text in value.split(",")
    ]
