"""The watch of evacuations, in deployments whose zones are evacuated."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.evacuation import EvacuationsHandler
from balsamway.node.watch_relay import MAX_WATCH_SECONDS
from balsamway.store.kind_watch import KindWatch

if TYPE_CHECKING:
    import random

    from balsamway.evacuation import EvacuatedZones
    from balsamway.node.node_settings import NodeSettings
    from balsamway.node.platform_adapters import PlatformAdapters

COALESCE_SECONDS = 0.05
"""The pause between a change of evacuations and the next watch call."""


def evacuation_watches(
    settings: NodeSettings,
    adapters: PlatformAdapters,
    zones: EvacuatedZones,
    rng: random.Random,
) -> dict[str, KindWatch]:
    """Create the watch of evacuations where zones are evacuated.

    Without it the other hosts are sent nothing about the kind either.

    Args:
        settings: Say whether zones are evacuated.
        adapters: Name the kind, and call the store.
        zones: The state that the changes are applied to.
        rng: Draws the jitter of the backoff.

    Returns:
        The watch by its kind, or nothing.
    """
    if not settings.evacuates_zones:
        return {}
    watch = KindWatch(
        adapters.store,
        adapters.evacuations_kind,
        EvacuationsHandler(zones),
        MAX_WATCH_SECONDS,
        COALESCE_SECONDS,
        rng,
    )
    return {adapters.evacuations_kind: watch}
