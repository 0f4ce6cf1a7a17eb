"""Check journals for violations, independently of the router's own code."""

from balsamway.standins.checker.check import CHECKS, check
from balsamway.standins.checker.violation import Invariant, Violation

__all__ = ["CHECKS", "Invariant", "Violation", "check"]
