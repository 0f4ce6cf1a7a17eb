"""Forwarding of requests: choice of targets, attempts and their bounds."""

from balsamway.forwarding.forwarder import Forwarder
from balsamway.forwarding.target_transport import TargetTransport

__all__ = ["Forwarder", "TargetTransport"]
