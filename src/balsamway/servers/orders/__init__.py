"""Orders that the leader of a shard gives to a server, and their answers."""

from balsamway.servers.orders.grant_order import GrantOrder
from balsamway.servers.orders.granted_range import GrantedRange
from balsamway.servers.orders.order_lost import OrderLost
from balsamway.servers.orders.order_refused import OrderRefused
from balsamway.servers.orders.order_result import OrderResult
from balsamway.servers.orders.release_order import ReleaseOrder
from balsamway.servers.orders.server_state import ServerState
from balsamway.servers.orders.survey_order import SurveyOrder

__all__ = [
    "GrantOrder",
    "GrantedRange",
    "OrderLost",
    "OrderRefused",
    "OrderResult",
    "ReleaseOrder",
    "ServerState",
    "SurveyOrder",
]
