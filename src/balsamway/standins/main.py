"""The command `balsamway-standin`."""

from __future__ import annotations

import logging
import sys
from pathlib import Path

import mode
from absl import app, flags

from balsamway.settings import SettingsError
from balsamway.standins.caller import CallerSettings, CallerStandin
from balsamway.standins.platform import PlatformSettings, PlatformStandin
from balsamway.standins.read_standin_settings import read_standin_settings
from balsamway.standins.server import ServerSettings, ServerStandin

EXIT_USAGE = 2

_SETTINGS = flags.DEFINE_string("settings", None, "The settings file.")

logger = logging.getLogger(__name__)


def create_standin(role: str, settings: Path) -> mode.Service:
    """Creates the stand-in that a command line asks for.

    Args:
        role: `platform`, `server` or `caller`.
        settings: The settings file.

    Returns:
        The stand-in, not started.

    Raises:
        SettingsError: If the role is unknown or the settings do not fit.
    """
    match role:
        case "platform":
            return PlatformStandin(read_standin_settings(settings, PlatformSettings))
        case "server":
            return ServerStandin(read_standin_settings(settings, ServerSettings))
        case "caller":
            return CallerStandin(read_standin_settings(settings, CallerSettings))
    raise SettingsError(f"unknown stand-in {role}: platform, server or caller")


def main(arguments: list[str]) -> int:
    """Runs one stand-in until it is stopped.

    Args:
        arguments: The program's name and the role.

    Returns:
        The exit status.
    """
    if len(arguments) != 2 or _SETTINGS.value is None:
        print(
            "usage: balsamway-standin platform|server|caller --settings FILE",
            file=sys.stderr,
        )
        return EXIT_USAGE
    try:
        standin = create_standin(arguments[1], Path(_SETTINGS.value))
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    worker = mode.Worker(standin, loglevel="WARNING", daemon=True)
    worker.execute_from_commandline()
    return 0


def run() -> None:
    """Runs the command."""
    app.run(main)
