"""Decisions on a request: which target, how often, and what became of it."""

from balsamway.forwarding.forwarder import Forwarder
from balsamway.forwarding.target_transport import TargetTransport

__all__ = ["Forwarder", "TargetTransport"]
