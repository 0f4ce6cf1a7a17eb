"""Reasons that a verdict gives for a request that was not completed."""

from __future__ import annotations

from enum import StrEnum


class Reason(StrEnum):
    """Why a request did not complete; the value is what the caller is told."""

    BAD_REQUEST = "bad-request"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_KIND = "unknown-kind"
    BODY_TOO_LARGE = "body-too-large"
    HEADERS_TOO_LARGE = "headers-too-large"
    TOO_MANY_REQUESTS = "too-many-requests"
    NO_ROUTE = "no-route"
    NO_CONFIGURATION = "no-configuration"
    STOPPING = "stopping"
    OVERLOADED = "overloaded"
    NO_TARGET = "no-target"
    NO_OWNER = "no-owner"
    MOVING = "moving"
    VIEW_LAPSED = "view-lapsed"
    WRONG_EPOCH = "wrong-epoch"
    GRANT_LAPSED = "grant-lapsed"
    TARGET_SHED = "target-shed"
    TARGET_DRAINING = "target-draining"
    CONNECT_FAILED = "connect-failed"
    CONNECTION_LOST = "connection-lost"
    ANSWER_TRUNCATED = "answer-truncated"
    ANSWER_MISMATCHED = "answer-mismatched"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    CANCELLED = "cancelled"
    INTERNAL_ERROR = "internal-error"
    TARGET_ERROR = "target-error"
