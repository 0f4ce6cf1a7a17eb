"""The load on a target in two bytes."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

LOAD_CODE_BYTES = 2
"""The size of one encoded load."""
SECONDS_STEP = 1.05
"""The ratio of two neighbouring service times that can be told apart. Single
requests differ much more."""
MIN_SECONDS = 0.0005
"""The shortest service time that can be told from an unknown one."""
MAX_BYTE = 255


@dataclass(frozen=True, slots=True)
class LoadCode:
    """What the hosts tell each other of the load on a target."""

    in_flight: int
    """The number of requests in flight, at most 255."""
    service_seconds: float | None
    """The service time of a request. None if unknown."""


def encode_loads(loads: Iterable[LoadCode]) -> bytes:
    """Encode loads in two bytes each.

    Args:
        loads: The loads.

    Returns:
        The encoded loads, in the same order.
    """
    encoded = bytearray()
    for load in loads:
        encoded.append(min(MAX_BYTE, load.in_flight))
        encoded.append(_seconds_step(load.service_seconds))
    return bytes(encoded)


def decode_loads(encoded: bytes) -> Iterator[LoadCode]:
    """Decode loads.

    Args:
        encoded: What `encode_loads` returned.

    Yields:
        The loads, in the same order.
    """
    for index in range(0, len(encoded) - 1, LOAD_CODE_BYTES):
        step = encoded[index + 1]
        seconds = MIN_SECONDS * SECONDS_STEP**step if step else None
        yield LoadCode(encoded[index], seconds)


def digest_of_names(names: Iterable[str]) -> int:
    """Return a number that identifies a list of names.

    Args:
        names: The names, sorted.
    """
    return xxhash.xxh64_intdigest("\n".join(names).encode())


def _seconds_step(seconds: float | None) -> int:
    if not seconds:
        return 0
    step = round(math.log(seconds / MIN_SECONDS, SECONDS_STEP))
    return max(1, min(MAX_BYTE, step))
