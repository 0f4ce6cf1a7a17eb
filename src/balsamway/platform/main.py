"""Run an entry host on the platform."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry

from balsamway.boot_time_loop import BootTimeLoop
from balsamway.node.entry_node import EntryNode
from balsamway.node.surroundings import Surroundings
from balsamway.observe.json_logs import set_up_json_logs
from balsamway.platform import names
from balsamway.platform.caller_codec import PlatformCallerCodec
from balsamway.platform.configuration_decoder import decode_routing
from balsamway.platform.settings import read_node_settings, settings_path
from balsamway.platform.store_client import StoreClient
from balsamway.platform.target_control import PlatformTargetControl
from balsamway.platform.target_decoder import decode_target
from balsamway.platform.target_transport import PlatformTargetTransport
from balsamway.settings import SettingsError
from balsamway.store.call_counts import CallCounts

if TYPE_CHECKING:
    from balsamway.node.node_settings import NodeSettings

CRASHED_EXIT_STATUS = 1
"""The exit status if a component of the entry host crashed."""
USAGE_EXIT_STATUS = 2
"""The exit status for invalid settings."""

logger = logging.getLogger(__name__)


def run() -> int:
    """Run the entry host until the process receives SIGTERM or SIGINT.

    Returns:
        The exit status: 0 after an orderly stop, 1 after a crash, 2 for
        invalid settings.
    """
    try:
        settings = read_node_settings(settings_path())
    except SettingsError as error:
        print(f"balsamway: {error}", file=sys.stderr)
        return USAGE_EXIT_STATUS
    flush_logs = set_up_json_logs(
        settings.host, settings.zone, stream=sys.stdout, in_thread=True
    )
    try:
        with asyncio.Runner(loop_factory=BootTimeLoop) as runner:
            return runner.run(_serve(settings))
    finally:
        flush_logs()


def _surroundings(settings: NodeSettings, registry: CollectorRegistry) -> Surroundings:
    return Surroundings(
        store=StoreClient(settings.store_address, CallCounts(registry)),
        codec=PlatformCallerCodec(),
        transport=PlatformTargetTransport(),
        control=PlatformTargetControl(),
        readiness_path=names.READINESS_PATH,
        configuration_kind=names.CONFIGURATION_KIND,
        configuration_name=names.CONFIGURATION_NAME,
        targets_kind=names.TARGETS_KIND,
        decode_configuration=decode_routing,
        decode_target=decode_target,
    )


async def _serve(settings: NodeSettings) -> int:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, _on_settings_changed)
    registry = CollectorRegistry()
    node = EntryNode(settings, _surroundings(settings, registry), registry)
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


def _on_settings_changed() -> None:
    """Check the changed settings file and log the result.

    New settings take effect at the next start of the process.
    """
    try:
        read_node_settings(settings_path())
    except SettingsError as error:
        logger.error("settings-unreadable", extra={"reason": str(error)})
        return
    logger.info("settings-read")


if __name__ == "__main__":
    sys.exit(run())
