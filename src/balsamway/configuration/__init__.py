"""What a member is promised: generated from its answers, then accepted."""

from balsamway.configuration.member_configuration import MemberConfiguration
from balsamway.configuration.request_kind import RequestKind
from balsamway.configuration.service import Service
from balsamway.configuration.urgency import Urgency
from balsamway.configuration.weights import Weights
from balsamway.configuration.zone import Zone

__all__ = [
    "MemberConfiguration",
    "RequestKind",
    "Service",
    "Urgency",
    "Weights",
    "Zone",
]
