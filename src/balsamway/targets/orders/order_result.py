"""The result of an order."""

from __future__ import annotations

from typing import TypeAlias

from balsamway.targets.orders.grant_report import GrantReport
from balsamway.targets.orders.order_lost import OrderLost
from balsamway.targets.orders.order_refused import OrderRefused

OrderResult: TypeAlias = GrantReport | OrderRefused | OrderLost
