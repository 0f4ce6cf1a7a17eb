from __future__ import annotations

from dataclasses import dataclass

from balsamway.configuration import (
    RequestKind,
    Service,
    Urgency,
    WorkspaceConfiguration,
    Zone,
)

TOKEN = "lids-token"

LOOKUP = RequestKind("lookup", True, 1.0, Urgency.NORMAL, 1000)
ORDER = RequestKind("order", False, 1.0, Urgency.URGENT, 1000)
ARCHIVE = RequestKind("archive", True, 1.0, Urgency.PATIENT, 1000)
KINDS = (LOOKUP, ORDER, ARCHIVE)
PRICES = Service("prices", False, KINDS, 3, 110, 8)
STOCK = Service("stock", True, KINDS, 3, 110, 12, shards=4)
LIDS = WorkspaceConfiguration(
    "lids", 1, "c1", (Zone("a", "r", 3),), (PRICES, STOCK), ("hash",)
)


@dataclass
class GatewayConfigurations:
    """The configurations of a gateway with a single workspace."""

    workspace_configuration: WorkspaceConfiguration = LIDS

    def workspace(self, name):
        configuration = self.workspace_configuration
        return configuration if configuration.workspace == name else None

    def workspaces(self):
        return (self.workspace_configuration,)

    def workspace_of_token(self, token):
        return self.workspace_configuration if token == TOKEN else None
