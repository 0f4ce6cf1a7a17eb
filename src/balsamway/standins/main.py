"""The command `balsamway-standin`."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from absl import app, flags

from balsamway.settings import SettingsError, read_settings
from balsamway.standins.caller import CallerSettings, CallerStandin
from balsamway.standins.http_standin import HttpStandin
from balsamway.standins.platform import PlatformSettings, PlatformStandin
from balsamway.standins.target import TargetSettings, TargetStandin

if TYPE_CHECKING:
    import mode

EXIT_USAGE = 2
"""The exit status for invalid arguments or settings."""

_SETTINGS = flags.DEFINE_string("settings", None, "The settings file.")


def create_standin(role: str, settings: Path) -> mode.Service:
    """Create the stand-in of a role.

    Args:
        role: `platform`, `target` or `caller`.
        settings: The settings file.

    Returns:
        The stand-in, not yet started.

    Raises:
        SettingsError: If the role is unknown or the settings are invalid.
    """
    match role:
        case "platform":
            return PlatformStandin(read_settings(settings, PlatformSettings))
        case "target":
            return TargetStandin(read_settings(settings, TargetSettings))
        case "caller":
            return CallerStandin(read_settings(settings, CallerSettings))
    raise SettingsError(f"unknown stand-in {role}: platform, target or caller")


def main(arguments: list[str]) -> int:
    """Run one stand-in until it is stopped.

    A caller stand-in also ends when its time to send requests is over.

    Args:
        arguments: The program's name and the role.

    Returns:
        The exit status.
    """
    if len(arguments) != 2 or _SETTINGS.value is None:
        print(
            "usage: balsamway-standin platform|target|caller --settings FILE",
            file=sys.stderr,
        )
        return EXIT_USAGE
    try:
        standin = create_standin(arguments[1], Path(_SETTINGS.value))
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    asyncio.run(_serve(standin))
    return 0


async def _serve(standin: mode.Service) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    await standin.start()
    if isinstance(standin, HttpStandin):
        print(standin.address, flush=True)
    if isinstance(standin, CallerStandin):
        await _wait_for_end(standin, stop)
    else:
        await stop.wait()
    await standin.stop()


async def _wait_for_end(caller: CallerStandin, stop: asyncio.Event) -> None:
    tasks = [
        asyncio.ensure_future(caller.wait_done()),
        asyncio.ensure_future(stop.wait()),
    ]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()


def run() -> None:
    """Run the command `balsamway-standin`."""
    app.run(main)


if __name__ == "__main__":
    run()
