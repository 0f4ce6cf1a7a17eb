"""Reads which tests are known to fail for a real fault."""

from __future__ import annotations

from pathlib import Path

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
COMMENT = "#"


def known_red(path: Path = KNOWN_RED) -> dict[str, str]:
    """Reads the list: one entry a line, the test's id, then what was seen.

    Args:
        path: The list; none is the same as an empty one.

    Returns:
        What was seen, by the id of the test.
    """
    if not path.exists():
        return {}
    lines = path.read_text(encoding="utf-8").splitlines()
    entries = [line for line in lines if line and not line.startswith(COMMENT)]
    return {name: seen for name, _, seen in (one.partition(" | ") for one in entries)}
