"""Encode and decode configurations for the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from balsamway.configuration.workspace_configuration import WorkspaceConfiguration
from balsamway.outcome import Malformed

if TYPE_CHECKING:
    from collections.abc import Iterable


def encode_configuration(configuration: WorkspaceConfiguration) -> bytes:
    """Encode a configuration for the store.

    Args:
        configuration: The configuration.

    Returns:
        JSON.
    """
    return msgspec.json.encode(configuration)


def decode_configuration(
    body: bytes, workspace: str
) -> WorkspaceConfiguration | Malformed:
    """Decode a stored configuration.

    Args:
        body: JSON.
        workspace: The workspace whose configuration is expected.

    Returns:
        The configuration, or why the body is malformed.
    """
    try:
        configuration = msgspec.json.decode(body, type=WorkspaceConfiguration)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Malformed(str(error))
    if configuration.workspace != workspace:
        return Malformed(f"the workspace is {configuration.workspace!r}")
    if configuration.version < 1:
        return Malformed(f"the version is {configuration.version}")
    return configuration


def encode_workspaces(workspaces: Iterable[str]) -> bytes:
    """Encode the index of workspaces.

    Args:
        workspaces: The workspaces' names.

    Returns:
        JSON array of the names in alphabetical order, without duplicates.
    """
    return msgspec.json.encode(sorted(set(workspaces)))


def decode_workspaces(body: bytes) -> tuple[str, ...] | Malformed:
    """Decode the index of workspaces.

    Args:
        body: JSON.

    Returns:
        The workspaces' names, or why the body is malformed.
    """
    try:
        return msgspec.json.decode(body, type=tuple[str, ...])
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Malformed(str(error))
