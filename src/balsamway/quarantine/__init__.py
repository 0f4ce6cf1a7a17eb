"""Keeps requests that end targets from being sent to further ones."""

from balsamway.quarantine.decision import Allowed, Decision, Isolated, Quarantined
from balsamway.quarantine.fingerprint import fingerprint
from balsamway.quarantine.suspect_table import SuspectTable

__all__ = [
    "Allowed",
    "Decision",
    "Isolated",
    "Quarantined",
    "SuspectTable",
    "fingerprint",
]
