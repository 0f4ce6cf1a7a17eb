"""Simulated callers of a workspace's services."""

from balsamway.standins.caller.call_kind import CallKind
from balsamway.standins.caller.caller_settings import CallerSettings
from balsamway.standins.caller.caller_standin import CallerStandin
from balsamway.standins.caller.zipf_keys import ZipfKeys

__all__ = ["CallKind", "CallerSettings", "CallerStandin", "ZipfKeys"]
