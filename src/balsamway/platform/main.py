"""Run an entry host on the platform."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from balsamway.node.node_process import run_node
from balsamway.node.platform_adapters import PlatformAdapters
from balsamway.platform import names
from balsamway.platform.caller_codec import PlatformCallerCodec
from balsamway.platform.configuration_decoder import decode_routing
from balsamway.platform.settings import read_node_settings, settings_path
from balsamway.platform.store_client import StoreClient
from balsamway.platform.target_control import PlatformTargetControl
from balsamway.platform.target_decoder import decode_target
from balsamway.platform.target_transport import PlatformTargetTransport
from balsamway.store.call_counts import CallCounts

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

    from balsamway.node.node_settings import NodeSettings


def run() -> int:
    """Run the entry host; see `run_node`."""
    return run_node(lambda: read_node_settings(settings_path()), _create_adapters)


def _create_adapters(
    settings: NodeSettings, registry: CollectorRegistry
) -> PlatformAdapters:
    return PlatformAdapters(
        store=StoreClient(settings.store_address, CallCounts(registry)),
        codec=PlatformCallerCodec(),
        transport=PlatformTargetTransport(),
        control=PlatformTargetControl(),
        readiness_path=names.READINESS_PATH,
        configuration_kind=names.CONFIGURATION_KIND,
        configuration_name=names.CONFIGURATION_NAME,
        targets_kind=names.TARGETS_KIND,
        evacuations_kind=names.EVACUATIONS_KIND,
        decode_configuration=decode_routing,
        decode_target=decode_target,
    )


if __name__ == "__main__":
    sys.exit(run())
