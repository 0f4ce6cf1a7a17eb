"""Compare two configurations of a workspace."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from balsamway.configuration.change import Change, ChangeKind

if TYPE_CHECKING:
    from collections.abc import Iterator

    from balsamway.configuration.workspace_configuration import WorkspaceConfiguration

ACCEPTANCE_FIELDS = frozenset({"version", "change_id", "replaced"})
"""Fields that are set on acceptance, which the comparison ignores."""


def difference(
    before: WorkspaceConfiguration | None, after: WorkspaceConfiguration
) -> tuple[Change, ...]:
    """Return the changes from one configuration to another.

    Zones, services and kinds are compared by name, so their order does not
    count.

    Args:
        before: The configuration in force; None for a new workspace.
        after: The configuration that replaces it.

    Returns:
        The changes, in the order of their paths.
    """
    old = {} if before is None else dict(_flatten("", msgspec.to_builtins(before)))
    new = dict(_flatten("", msgspec.to_builtins(after)))
    changes = (
        _change(path, old.get(path, ""), new.get(path, ""))
        for path in sorted(old.keys() | new.keys())
    )
    return tuple(change for change in changes if change is not None)


def _change(path: str, before: str, after: str) -> Change | None:
    if before == after:
        return None
    if not before:
        return Change(ChangeKind.ADDED, path, "", after)
    if not after:
        return Change(ChangeKind.REMOVED, path, before, "")
    return Change(ChangeKind.CHANGED, path, before, after)


def _flatten(path: str, value: Any) -> Iterator[tuple[str, str]]:
    if isinstance(value, dict):
        for name, inner in value.items():
            if not path and name in ACCEPTANCE_FIELDS:
                continue
            yield from _flatten(f"{path}.{name}" if path else name, inner)
    elif isinstance(value, (list, tuple)):
        for item in value:
            yield from _flatten_item(path, item)
    else:
        yield path, msgspec.json.encode(value).decode()


def _flatten_item(path: str, item: Any) -> Iterator[tuple[str, str]]:
    if isinstance(item, dict):
        yield from _flatten(f"{path}[{item['name']}]", item)
    else:
        text = msgspec.json.encode(item).decode()
        yield f"{path}[{text}]", text
