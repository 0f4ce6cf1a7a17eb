"""Turns configurations into stored bodies and back."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from balsamway.configuration.workspace_configuration import WorkspaceConfiguration
from balsamway.outcome import Malformed

if TYPE_CHECKING:
    from collections.abc import Iterable


def encode_configuration(configuration: WorkspaceConfiguration) -> bytes:
    """Encodes a configuration as it is stored.

    Args:
        configuration: The configuration.

    Returns:
        JSON.
    """
    return msgspec.json.encode(configuration)


def decode_configuration(
    body: bytes, workspace: str
) -> WorkspaceConfiguration | Malformed:
    """Decodes a stored configuration.

    Args:
        body: JSON.
        workspace: The workspace whose configuration is expected.

    Returns:
        The configuration, or what is wrong with the body.
    """
    try:
        found = msgspec.json.decode(body, type=WorkspaceConfiguration)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Malformed(str(error))
    if found.workspace != workspace:
        return Malformed(f"the workspace is {found.workspace!r}")
    if found.version < 1:
        return Malformed(f"the version is {found.version}")
    return found


def encode_workspaces(workspaces: Iterable[str]) -> bytes:
    """Encodes the list of workspaces.

    Args:
        workspaces: The workspaces' names.

    Returns:
        JSON, in the order of the names.
    """
    return msgspec.json.encode(sorted(set(workspaces)))


def decode_workspaces(body: bytes) -> tuple[str, ...] | Malformed:
    """Decodes the list of workspaces.

    Args:
        body: JSON.

    Returns:
        The workspaces' names, or what is wrong with the body.
    """
    try:
        return msgspec.json.decode(body, type=tuple[str, ...])
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Malformed(str(error))
