"""A stand-in for a server of a member's service."""

from balsamway.standins.server.run_times import RunTimes
from balsamway.standins.server.server_faults import ServerFaults
from balsamway.standins.server.server_settings import ServerSettings
from balsamway.standins.server.server_standin import ServerStandin

__all__ = ["RunTimes", "ServerFaults", "ServerSettings", "ServerStandin"]
