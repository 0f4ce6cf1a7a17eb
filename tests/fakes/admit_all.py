from __future__ import annotations

from balsamway.limits import Admitted


class AdmitAll:
    """Admits every request; implements `TargetAdmission`."""

    def held_back(self, state, priority):
        return None

    async def acquire(self, state, priority):
        return Admitted()
