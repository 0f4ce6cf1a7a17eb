"""A stand-in for the platform, with its object store and its host list."""

from balsamway.standins.platform.call_counts import CallCounts
from balsamway.standins.platform.platform_faults import PlatformFaults
from balsamway.standins.platform.platform_settings import PlatformSettings
from balsamway.standins.platform.platform_standin import PlatformStandin

__all__ = ["CallCounts", "PlatformFaults", "PlatformSettings", "PlatformStandin"]
