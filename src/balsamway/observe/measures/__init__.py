"""Measures for workspaces: imbalance, churn, unavailable time and cost."""

from balsamway.observe.measures.churn import Churn
from balsamway.observe.measures.cost import Cost
from balsamway.observe.measures.imbalance import Imbalance
from balsamway.observe.measures.unavailability import Outage, Unavailability

__all__ = ["Churn", "Cost", "Imbalance", "Outage", "Unavailability"]
