"""An availability zone with entry hosts of a workspace."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Zone:
    """An availability zone and how many entry hosts are planned in it."""

    name: str
    region: str
    entry_hosts: int
