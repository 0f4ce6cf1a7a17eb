from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class GatewayRecorder:
    """Keeps the load that a gateway records, in order."""

    records: list[tuple] = field(default_factory=list)

    def record(self, shard, position, busy_seconds):
        self.records.append((shard, position, busy_seconds))
