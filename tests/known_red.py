"""Reads the tests that CI passes over."""

from __future__ import annotations

from pathlib import Path

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
TEST_FIELD = "test: "


def read_known_red():
    """Gives the node ids that the file lists; none where there is no file."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return frozenset(
        line.removeprefix(TEST_FIELD).strip()
        for line in lines
        if line.startswith(TEST_FIELD)
    )
