"""An availability zone where a workspace's hosts stand."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Zone:
    """An availability zone and the entry hosts planned in it."""

    name: str
    region: str
    entry_hosts: int
