"""The process of an entry host: its signals, logs and exit status."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry

from balsamway.boot_time_loop import BootTimeLoop
from balsamway.node.entry_node import EntryNode
from balsamway.observe.json_logs import set_up_json_logs
from balsamway.settings import SettingsError

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.node.node_settings import NodeSettings
    from balsamway.node.platform_adapters import PlatformAdapters

CRASHED_EXIT_STATUS = 1
"""The exit status if a component of the entry host crashed."""
USAGE_EXIT_STATUS = 2
"""The exit status for invalid settings."""

logger = logging.getLogger(__name__)


def run_node(
    read_settings: Callable[[], NodeSettings],
    create_adapters: Callable[[NodeSettings, CollectorRegistry], PlatformAdapters],
) -> int:
    """Run the entry host until the process receives SIGTERM or SIGINT.

    Args:
        read_settings: Reads the settings; called again on SIGHUP.
        create_adapters: Creates the adapters to the platform.

    Returns:
        The exit status: 0 after an orderly stop, 1 after a crash, 2 for
        invalid settings.
    """
    try:
        settings = read_settings()
    except SettingsError as error:
        print(f"balsamway: {error}", file=sys.stderr)
        return USAGE_EXIT_STATUS
    flush_logs = set_up_json_logs(
        settings.host, settings.zone, stream=sys.stdout, in_thread=True
    )
    try:
        with asyncio.Runner(loop_factory=BootTimeLoop) as runner:
            return runner.run(_serve(settings, read_settings, create_adapters))
    finally:
        flush_logs()


async def _serve(
    settings: NodeSettings,
    read_settings: Callable[[], NodeSettings],
    create_adapters: Callable[[NodeSettings, CollectorRegistry], PlatformAdapters],
) -> int:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, _check_changed_settings, read_settings)
    registry = CollectorRegistry()
    node = EntryNode(settings, create_adapters(settings, registry), registry)
    await node.start()
    logger.info("started")
    stop_task = asyncio.create_task(stop_requested.wait())
    node_task = asyncio.create_task(node.wait_until_stopped())
    await asyncio.wait({stop_task, node_task}, return_when=asyncio.FIRST_COMPLETED)
    crashed = node.crashed
    if crashed:
        logger.error("crashed", extra={"reason": repr(node.crash_reason)})
    else:
        await node.drain()
    await node.stop()
    logger.info("stopped")
    return CRASHED_EXIT_STATUS if crashed else 0


def _check_changed_settings(read_settings: Callable[[], NodeSettings]) -> None:
    """Check the changed settings file and log the result.

    New settings take effect at the next start of the process.
    """
    try:
        read_settings()
    except SettingsError as error:
        logger.error("settings-unreadable", extra={"reason": str(error)})
        return
    logger.info("settings-read")
