"""Reads generated configurations back."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pyjson5

from balsamway.commands.verb import UsageError
from balsamway.configuration import WorkspaceConfiguration


def read_configuration(path: str) -> WorkspaceConfiguration:
    """Reads a configuration that `generate` wrote.

    Args:
        path: The file, JSON with comments.

    Returns:
        The configuration.

    Raises:
        UsageError: If the file is none.
    """
    try:
        found = pyjson5.decode(Path(path).read_text(encoding="utf-8"))
        return msgspec.convert(found, WorkspaceConfiguration)
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"{path}: {error}") from error
    except (pyjson5.Json5Exception, msgspec.ValidationError) as error:
        raise UsageError(f"{path}: no configuration: {error.args[0]}") from error
