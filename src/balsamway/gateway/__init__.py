"""The request path from a caller to a target and back."""

from balsamway.gateway.caller_listener import CallerListener
from balsamway.gateway.caller_request import CallerRequest
from balsamway.gateway.connection_warmer import ConnectionWarmer
from balsamway.gateway.gateway import Gateway
from balsamway.gateway.gateway_limits import GatewayLimits
from balsamway.gateway.load_recorder import LoadRecorder
from balsamway.gateway.metrics import GatewayMetrics
from balsamway.gateway.refusal import Refusal

__all__ = [
    "CallerListener",
    "CallerRequest",
    "ConnectionWarmer",
    "Gateway",
    "GatewayLimits",
    "GatewayMetrics",
    "LoadRecorder",
    "Refusal",
]
