"""Orders from the leader of a shard to a target, and their results.

An order is a grant, release or survey sent by the leader.
"""

from balsamway.targets.orders.grant_order import GrantOrder
from balsamway.targets.orders.grant_report import GrantReport
from balsamway.targets.orders.granted_range import GrantedRange
from balsamway.targets.orders.order_lost import OrderLost
from balsamway.targets.orders.order_refused import OrderRefused
from balsamway.targets.orders.order_result import OrderResult
from balsamway.targets.orders.release_order import ReleaseOrder
from balsamway.targets.orders.survey_order import SurveyOrder

__all__ = [
    "GrantOrder",
    "GrantReport",
    "GrantedRange",
    "OrderLost",
    "OrderRefused",
    "OrderResult",
    "ReleaseOrder",
    "SurveyOrder",
]
