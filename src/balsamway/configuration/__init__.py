"""Configuration of a workspace, generated from its questionnaire."""

from balsamway.configuration.request_kind import RequestKind
from balsamway.configuration.service import Service
from balsamway.configuration.urgency import Urgency
from balsamway.configuration.weights import Weights
from balsamway.configuration.workspace_configuration import WorkspaceConfiguration
from balsamway.configuration.zone import Zone

__all__ = [
    "RequestKind",
    "Service",
    "Urgency",
    "Weights",
    "WorkspaceConfiguration",
    "Zone",
]
