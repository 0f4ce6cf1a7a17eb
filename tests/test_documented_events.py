"""Every event of an entry host is explained to its operators."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

import balsamway

SOURCE = Path(balsamway.__file__).parent
PAGE = (SOURCE.parent.parent / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
PACKAGES = (
    "discovery",
    "entry",
    "evacuation",
    "exchange",
    "forwarding",
    "keyspace",
    "node",
    "observe",
    "occupancy",
    "platform",
    "quarantine",
    "store",
)
EVENT = re.compile(r'logger\.(?:info|warning|error|exception)\(\s*"([a-z-]+)"')
METRIC = re.compile(r'"(balsamway_entry_[a-z_]+)"')


def found(pattern):
    names = set()
    for package in PACKAGES:
        for path in (SOURCE / package).glob("*.py"):
            names.update(pattern.findall(path.read_text(encoding="utf-8")))
    return sorted(names)


@pytest.mark.parametrize("event", found(EVENT))
def test_an_event_is_documented(event):
    assert f"`{event}`" in PAGE


@pytest.mark.parametrize("metric", found(METRIC))
def test_a_metric_is_documented(metric):
    short = metric.removeprefix("balsamway_entry")
    assert metric in PAGE or f"`{short}`" in PAGE
