"""Eras of a store that may be restored from an older copy.

The store counts its restores: each one begins an era. A restored store gives
out again the revisions that it gave out since the copy was made, so a revision
identifies a state of the store only together with its era. A version combines
both in one integer, in which the era counts first. Versions never repeat, and
those of a later era are higher than all earlier ones.
"""

from __future__ import annotations

import logging

NUMBER_BITS = 32
"""The bits of the epochs and fencing tokens of one era, from the lowest on.
With the highest era they stay below 2**53, which any JSON parser reads."""
REVISION_BITS = 40
"""The bits of a version for the store's revision, from the lowest on."""
MAX_REVISION = 2**REVISION_BITS - 1
"""The highest revision that can be part of a version."""
FIRST_ERA = 1
"""The era of a store that was never restored. A store that counts none is in
era 0."""
MAX_ERA = 2**20 - 1
"""The highest era. Versions then fit into 63 bits."""
MAX_ERA_DIGITS = len(str(MAX_ERA))
"""The most digits of an era."""

logger = logging.getLogger(__name__)


def parse_era(text: str) -> int | None:
    """Return the era that a store names, or None if it can't be read.

    Args:
        text: The decimal number, not trusted.
    """
    # The bound on the length keeps a long number from being converted.
    if len(text) <= MAX_ERA_DIGITS and text.isascii() and text.isdigit():
        era = int(text)
        if era <= MAX_ERA:
            return era
    logger.warning("store-era-unreadable", extra={"value": text[:40]})
    return None


def version_of(era: int, revision: int) -> int:
    """Combine an era and a revision.

    Args:
        era: The era of the store, from 0 to `MAX_ERA`.
        revision: A revision within it, from 0 to `MAX_REVISION`.
    """
    return (era << REVISION_BITS) + revision


def era_of(version: int) -> int:
    """Return the era of a version.

    Args:
        version: The version.
    """
    return version >> REVISION_BITS


def revision_of(version: int) -> int:
    """Return the store's own revision of a version.

    Args:
        version: The version.
    """
    return version & MAX_REVISION


def was_restored(era: int) -> bool:
    """Return whether a store may have lost what it acknowledged before.

    Args:
        era: The era of the store.
    """
    return era > FIRST_ERA


def first_number_in(era: int) -> int:
    """Return a number above all that were counted up in earlier eras.

    Epochs and fencing tokens that are read from a restored store may have been
    used already, so they continue from here.

    Args:
        era: The era of the store.
    """
    return era << NUMBER_BITS
