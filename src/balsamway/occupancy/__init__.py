"""How many requests targets hold, and how many they accept."""

from balsamway.occupancy.service_room import ServiceRoom, SharedRoom
from balsamway.occupancy.target_load import LoadAnswer, TargetLoad, UnreadableLoad
from balsamway.occupancy.target_occupancy import RemoteCount, TargetOccupancy

__all__ = [
    "LoadAnswer",
    "RemoteCount",
    "ServiceRoom",
    "SharedRoom",
    "TargetLoad",
    "TargetOccupancy",
    "UnreadableLoad",
]
