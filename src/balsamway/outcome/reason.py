"""The reasons why requests are not completed."""

from __future__ import annotations

from enum import StrEnum


class Reason(StrEnum):
    """Why a request was not completed.

    The values are sent to callers, logged and used as metric labels.
    """

    BAD_REQUEST = "bad-request"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_KIND = "unknown-kind"
    BODY_TOO_LARGE = "body-too-large"
    HEADERS_TOO_LARGE = "headers-too-large"
    REQUEST_TIMEOUT = "request-timeout"
    """The body of the request did not arrive in time."""
    TOO_MANY_REQUESTS = "too-many-requests"
    NO_ROUTE = "no-route"
    NO_CONFIGURATION = "no-configuration"
    STOPPING = "stopping"
    OVERLOADED = "overloaded"
    NO_TARGET = "no-target"
    NO_OWNER = "no-owner"
    """The request's key has no owner."""
    MOVING = "moving"
    """The request's key is moving to another owner."""
    VIEW_LAPSED = "view-lapsed"
    """The host's view of the owners has expired."""
    WRONG_EPOCH = "wrong-epoch"
    """The target refused the epoch of the request."""
    GRANT_LAPSED = "grant-lapsed"
    """The target's grant has expired."""
    TARGET_SHED = "target-shed"
    """The target refused the request for lack of capacity."""
    TARGET_DRAINING = "target-draining"
    CONNECT_FAILED = "connect-failed"
    CONNECTION_LOST = "connection-lost"
    ANSWER_TRUNCATED = "answer-truncated"
    ANSWER_MISMATCHED = "answer-mismatched"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    QUARANTINED = "quarantined"
    """Targets ended while the request, or one like it, ran there."""
    CANCELLED = "cancelled"
    INTERNAL_ERROR = "internal-error"
    TARGET_ERROR = "target-error"
