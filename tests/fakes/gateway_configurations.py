from __future__ import annotations

from dataclasses import dataclass

from balsamway.configuration import (
    MemberConfiguration,
    RequestKind,
    Service,
    Urgency,
    Zone,
)

TOKEN = "lids-token"

LOOKUP = RequestKind("lookup", True, 1.0, Urgency.NORMAL, 1000)
ORDER = RequestKind("order", False, 1.0, Urgency.URGENT, 1000)
ARCHIVE = RequestKind("archive", True, 1.0, Urgency.PATIENT, 1000)
KINDS = (LOOKUP, ORDER, ARCHIVE)
PRICES = Service("prices", False, KINDS, 3, 110, 8)
STOCK = Service("stock", True, KINDS, 3, 110, 12, shards=4)
LIDS = MemberConfiguration(
    "lids", 1, "c1", (Zone("a", "r", 3),), (PRICES, STOCK), ("hash",)
)


@dataclass
class GatewayConfigurations:
    member_configuration: MemberConfiguration = LIDS

    def member(self, name):
        found = self.member_configuration
        return found if found.member == name else None

    def members(self):
        return (self.member_configuration,)

    def member_of_token(self, token):
        return self.member_configuration if token == TOKEN else None
