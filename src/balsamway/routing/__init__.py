"""The routes that map callers' requests to services."""

from balsamway.routing.active_routes import ActiveRoutes, RouteChoice
from balsamway.routing.backend import Backend
from balsamway.routing.caller_limits import CallerLimits
from balsamway.routing.route import Route
from balsamway.routing.route_id import RouteId
from balsamway.routing.route_table import RouteTable
from balsamway.routing.route_type import RouteType
from balsamway.routing.routed_service import RoutedService
from balsamway.routing.routing_configuration import RoutingConfiguration

__all__ = [
    "ActiveRoutes",
    "Backend",
    "CallerLimits",
    "Route",
    "RouteChoice",
    "RouteId",
    "RouteTable",
    "RouteType",
    "RoutedService",
    "RoutingConfiguration",
]
