"""HTTP exchanges with targets over pooled connections."""

from balsamway.exchange.byte_budget import ByteBudget
from balsamway.exchange.connection_pool import ConnectionPool
from balsamway.exchange.http_request import HttpRequest
from balsamway.exchange.http_response import HttpResponse
from balsamway.exchange.not_sent import NotSent
from balsamway.exchange.response_lost import ResponseLost
from balsamway.exchange.streamed_body import (
    BodyBroken,
    BodyTooLarge,
    StreamedBody,
)
from balsamway.exchange.target_connection import TargetConnection

__all__ = [
    "BodyBroken",
    "BodyTooLarge",
    "ByteBudget",
    "ConnectionPool",
    "HttpRequest",
    "HttpResponse",
    "NotSent",
    "ResponseLost",
    "StreamedBody",
    "TargetConnection",
]
