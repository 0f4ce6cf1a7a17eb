"""The known targets, as registered by their own entries in the store."""

from balsamway.discovery.target_directory import TargetDirectory
from balsamway.discovery.target_entry import TargetEntry

__all__ = ["TargetDirectory", "TargetEntry"]
