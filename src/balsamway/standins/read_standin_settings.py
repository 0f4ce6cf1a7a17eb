"""Reads the settings of a stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import msgspec
import pyjson5

from balsamway.settings import SettingsError

if TYPE_CHECKING:
    from pathlib import Path

T = TypeVar("T")


def read_standin_settings(path: Path, cls: type[T]) -> T:
    """Reads and checks a settings file.

    Args:
        path: The file, JSON with comments.
        cls: The data class of the settings.

    Returns:
        The settings.

    Raises:
        SettingsError: If the file cannot be read or does not fit.
    """
    try:
        found = pyjson5.decode(path.read_text(encoding="utf-8"))
        return msgspec.convert(found, cls)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (pyjson5.Json5Exception, msgspec.ValidationError) as error:
        raise SettingsError(f"{path}: {error}") from error
