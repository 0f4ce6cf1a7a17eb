"""Limits that targets name for the requests of all entry hosts together."""

from balsamway.limits.admission import Admission, Admitted, HeldBack
from balsamway.limits.cold_budget import ColdBudget
from balsamway.limits.cold_target import ColdTarget
from balsamway.limits.limit_answer import (
    LimitAnswer,
    NamedLimit,
    NoLimit,
    UnreadableLimit,
)
from balsamway.limits.target_limit import TargetLimit

__all__ = [
    "Admission",
    "Admitted",
    "ColdBudget",
    "ColdTarget",
    "HeldBack",
    "LimitAnswer",
    "NamedLimit",
    "NoLimit",
    "TargetLimit",
    "UnreadableLimit",
]
