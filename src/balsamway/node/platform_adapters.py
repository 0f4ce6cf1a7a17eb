"""The adapters between an entry host and the platform it runs on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.discovery import TargetEntry
    from balsamway.entry import CallerCodec
    from balsamway.forwarding import TargetTransport
    from balsamway.keyspace.target_control import TargetControl
    from balsamway.outcome import Malformed
    from balsamway.routing import RoutingConfiguration
    from balsamway.store.object_store import ObjectStore


@dataclass(frozen=True, slots=True)
class PlatformAdapters:
    """The platform's implementations of an entry host's interfaces.

    It also names the readiness path and the kinds of objects in the store.
    """

    store: ObjectStore
    codec: CallerCodec
    transport: TargetTransport
    control: TargetControl
    readiness_path: str
    configuration_kind: str
    configuration_name: str
    targets_kind: str
    evacuations_kind: str
    decode_configuration: Callable[[bytes], RoutingConfiguration | Malformed]
    decode_target: Callable[[str, bytes], TargetEntry | Malformed]
