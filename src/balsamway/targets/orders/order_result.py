"""What may become of an order."""

from __future__ import annotations

from typing import TypeAlias

from balsamway.targets.orders.order_lost import OrderLost
from balsamway.targets.orders.order_refused import OrderRefused
from balsamway.targets.orders.target_state import TargetState

OrderResult: TypeAlias = TargetState | OrderRefused | OrderLost
