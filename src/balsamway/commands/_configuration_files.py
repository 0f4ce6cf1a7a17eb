"""Read generated configuration files."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pyjson5

from balsamway.commands.subcommand import UsageError
from balsamway.configuration import WorkspaceConfiguration


def read_configuration(path: str) -> WorkspaceConfiguration:
    """Read a configuration that `generate` wrote.

    Args:
        path: The path of the file, JSON with comments.

    Returns:
        The configuration.

    Raises:
        UsageError: If the file cannot be read or is not a configuration.
    """
    try:
        document = pyjson5.decode(Path(path).read_text(encoding="utf-8"))
        return msgspec.convert(document, WorkspaceConfiguration)
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"{path}: {error}") from error
    except (pyjson5.Json5Exception, msgspec.ValidationError) as error:
        raise UsageError(f"{path}: no configuration: {error.args[0]}") from error
