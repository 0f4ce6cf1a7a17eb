"""The targets that exist, as their own entries in the store say."""

from balsamway.discovery.target_directory import TargetDirectory
from balsamway.discovery.target_entry import TargetEntry

__all__ = ["TargetDirectory", "TargetEntry"]
