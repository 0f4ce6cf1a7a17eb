"""Checks journals for what must never happen; knows nothing of the router."""

from balsamway.standins.checker.check import CHECKS, check
from balsamway.standins.checker.violation import Invariant, Violation

__all__ = ["CHECKS", "Invariant", "Violation", "check"]
