"""HTTP exchanges with targets over pooled connections."""

from balsamway.exchange.broken import Broken
from balsamway.exchange.connection_pool import ConnectionPool
from balsamway.exchange.http_answer import HttpAnswer
from balsamway.exchange.http_request import HttpRequest
from balsamway.exchange.not_sent import NotSent
from balsamway.exchange.target_connection import TargetConnection

__all__ = [
    "Broken",
    "ConnectionPool",
    "HttpAnswer",
    "HttpRequest",
    "NotSent",
    "TargetConnection",
]
