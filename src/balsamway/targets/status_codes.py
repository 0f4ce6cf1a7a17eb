"""Which status codes of responses mean anything."""

from __future__ import annotations

from http import HTTPStatus

MIN_FINAL_STATUS = 200
MAX_STATUS = 599
"""HTTP defines five classes of status codes. Others have no meaning."""
INTERIM_STATUSES = range(100, MIN_FINAL_STATUS)


def is_final(status: int) -> bool:
    """Return whether a response with this status answers its request.

    Args:
        status: The status code, which may be any number.
    """
    return MIN_FINAL_STATUS <= status <= MAX_STATUS


def is_interim(status: int) -> bool:
    """Return whether another response to the same request follows.

    No request asks for another protocol, so none may be switched to.

    Args:
        status: The status code, which may be any number.
    """
    return status in INTERIM_STATUSES and status != HTTPStatus.SWITCHING_PROTOCOLS
