"""Decode what targets say of themselves in the heads of their responses."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from balsamway.forwarding.rest_answer import RestAsked, UnreadableRest
from balsamway.occupancy import TargetLoad, UnreadableLoad
from balsamway.platform import names

if TYPE_CHECKING:
    from multidict import CIMultiDictProxy

    from balsamway.forwarding.rest_answer import RestAnswer
    from balsamway.occupancy import LoadAnswer

LEAVING_VALUE = "1"
"""The value that says that the target is leaving; no other has a meaning."""

REST_STATUS = 503
"""The status of the refusals with which a target may ask for rest."""
DECIMAL_SECONDS = re.compile(r"[0-9]{1,40}(\.[0-9]{0,40})?")
"""A time in seconds. Dates are not used by the platform's targets."""

LOAD_VALUE = re.compile(r"(\d{1,4}),(\d{1,4}),([1-9]\d{0,3})(?:,([1-9]\d{0,3}))?", re.A)
"""Requests running and waiting, slots, and the time work takes in percent."""


def decode_leaving(headers: CIMultiDictProxy[str]) -> bool:
    """Return whether the target says that it is leaving.

    Args:
        headers: The headers of its response.
    """
    return LEAVING_VALUE in _header_texts(headers, names.LEAVING_HEADER)


def decode_rest(status: int, headers: CIMultiDictProxy[str]) -> RestAnswer | None:
    """Return the rest that a target asks for as it refuses a request.

    Of several times the longest counts.

    Args:
        status: The status of the response.
        headers: The headers of the response.

    Returns:
        The rest, or None if the response asks for none.
    """
    texts = _header_texts(headers, names.RETRY_AFTER_HEADER)
    if status != REST_STATUS or not texts:
        return None
    for text in texts:
        if not DECIMAL_SECONDS.fullmatch(text):
            return UnreadableRest(text)
    return RestAsked(max(float(text) for text in texts))


def decode_load(headers: CIMultiDictProxy[str]) -> LoadAnswer | None:
    """Return the load that a target reports.

    Args:
        headers: The headers of the response.

    Returns:
        The load, or None if the response reports none.
    """
    values = headers.getall(names.LOAD_HEADER, ())
    if not values:
        return None
    match = LOAD_VALUE.fullmatch(values[0])
    if match is None or len(values) > 1:
        return UnreadableLoad("; ".join(values))
    running, waiting, slots, percent = (int(text or 100) for text in match.groups())
    return TargetLoad(running, waiting, slots, percent / 100)


def _header_texts(headers: CIMultiDictProxy[str], name: str) -> list[str]:
    """Return the comma-separated values of a header, of all its lines."""
    return [
        text.strip() for value in headers.getall(name, ()) for text in value.split(",")
    ]
