"""Which targets may get requests by their zone: evacuations and regions."""

from balsamway.evacuation.evacuated_zones import EvacuatedZones
from balsamway.evacuation.evacuation import Evacuation
from balsamway.evacuation.evacuations_handler import EvacuationsHandler
from balsamway.evacuation.regions import Regions

__all__ = ["EvacuatedZones", "Evacuation", "EvacuationsHandler", "Regions"]
