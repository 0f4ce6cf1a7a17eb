"""What may become of an order."""

from __future__ import annotations

from typing import TypeAlias

from balsamway.servers.orders.order_lost import OrderLost
from balsamway.servers.orders.order_refused import OrderRefused
from balsamway.servers.orders.server_state import ServerState

OrderResult: TypeAlias = ServerState | OrderRefused | OrderLost
