"""Writes a generated configuration as JSON with comments."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from balsamway.configuration.generated import Generated

INDENT = "  "
UNSET = "set when the configuration is accepted"


def render(generated: Generated) -> str:
    """Writes a configuration with the source of each part beside it.

    Args:
        generated: The configuration, and where its parts come from.

    Returns:
        JSON with comments; the same configuration gives the same text.
    """
    notes = {part.path: str(part) for part in generated.explained}
    notes |= {"version": UNSET, "change_id": UNSET}
    document = msgspec.to_builtins(generated.configuration)
    return "\n".join(_lines(document, "", "", "", notes)) + "\n"


def _lines(
    value: Any, head: str, path: str, indent: str, notes: Mapping[str, str]
) -> Iterator[str]:
    note = f"  // {notes[path]}" if path in notes else ""
    comma = "," if path else ""
    if isinstance(value, dict):
        yield f"{indent}{head}{{"
        for name, inner in value.items():
            place = f"{path}.{name}" if path else name
            yield from _lines(inner, f'"{name}": ', place, indent + INDENT, notes)
        yield f"{indent}}}{comma}{note}"
    elif isinstance(value, (list, tuple)):
        yield f"{indent}{head}[{note}"
        for index, inner in enumerate(value):
            yield from _lines(inner, "", f"{path}[{index}]", indent + INDENT, notes)
        yield f"{indent}]{comma}"
    else:
        yield f"{indent}{head}{json.dumps(value)}{comma}{note}"
