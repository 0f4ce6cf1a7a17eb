"""The command `balsamwayd`, which runs the daemon of an entry host."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys
from pathlib import Path

import msgspec
from absl import app, flags

from balsamway.daemon.daemon import Daemon
from balsamway.observe.json_logs import set_up_json_logs
from balsamway.settings import Settings, SettingsError, read_settings

SETTINGS_FLAG = flags.DEFINE_string(
    "settings", None, "The settings file, JSON with comments.", required=True
)

CRASHED_EXIT_STATUS = 1
"""The exit status if a service of the daemon crashed."""
USAGE_EXIT_STATUS = 2
"""The exit status for invalid settings."""

logger = logging.getLogger(__name__)


def run() -> None:
    """Run the daemon until the process receives SIGTERM or SIGINT."""
    app.run(_main)


def _main(arguments: list[str]) -> int:
    try:
        settings = read_settings(Path(SETTINGS_FLAG.value), Settings)
    except SettingsError as error:
        print(f"balsamwayd: {error}", file=sys.stderr)
        return USAGE_EXIT_STATUS
    set_up_json_logs(settings.host, settings.zone)
    return asyncio.run(_serve(settings))


async def _serve(settings: Settings) -> int:
    daemon = Daemon(settings)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, stop_requested.set)
    loop.add_signal_handler(signal.SIGUSR1, _write_state, daemon)
    await daemon.start()
    logger.info("daemon started", extra={"addresses": daemon.addresses})
    await daemon.wait_first(stop_requested)
    crashed = daemon.crashed
    logger.info("daemon stopping", extra={"crashed": crashed})
    await daemon.stop()
    logger.info("daemon stopped")
    return CRASHED_EXIT_STATUS if crashed else 0


def _write_state(daemon: Daemon) -> None:
    """Write the state dump to standard error, on SIGUSR1."""
    state_dump = msgspec.json.encode(daemon.state()).decode()
    print(state_dump, file=sys.stderr, flush=True)


if __name__ == "__main__":
    run()
