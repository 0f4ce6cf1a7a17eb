"""Render a generated configuration as JSON with comments."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from balsamway.configuration.generated_configuration import GeneratedConfiguration

INDENT = "  "
SET_ON_ACCEPTANCE = "set when the configuration is accepted"


def render(generated: GeneratedConfiguration) -> str:
    """Render a configuration with the origin of each value as a comment.

    Args:
        generated: The configuration with the origin of each value.

    Returns:
        JSON with comments. The same configuration always gives the same
        text.
    """
    notes = {origin.path: str(origin) for origin in generated.provenance}
    notes |= {"version": SET_ON_ACCEPTANCE, "change_id": SET_ON_ACCEPTANCE}
    document = msgspec.to_builtins(generated.configuration)
    return "\n".join(_lines(document, "", "", "", notes)) + "\n"


def _lines(
    value: Any, prefix: str, path: str, indent: str, notes: Mapping[str, str]
) -> Iterator[str]:
    note = f"  // {notes[path]}" if path in notes else ""
    comma = "," if path else ""
    if isinstance(value, dict):
        yield f"{indent}{prefix}{{"
        for name, inner in value.items():
            inner_path = f"{path}.{name}" if path else name
            yield from _lines(inner, f'"{name}": ', inner_path, indent + INDENT, notes)
        yield f"{indent}}}{comma}{note}"
    elif isinstance(value, (list, tuple)):
        yield f"{indent}{prefix}[{note}"
        for index, inner in enumerate(value):
            yield from _lines(inner, "", f"{path}[{index}]", indent + INDENT, notes)
        yield f"{indent}]{comma}"
    else:
        yield f"{indent}{prefix}{json.dumps(value)}{comma}{note}"
