"""Which host may try a request whose quarantine has ended."""

from __future__ import annotations

TRIAL_SECONDS = 2.0
"""How long one trial keeps others from the same request. A target that ends
under it is reported within this time."""


class Trials:
    """Allows one trial of a request at a time, on the host that leads."""

    def __init__(self) -> None:
        self._until: dict[int, float] = {}

    def take(self, request: int, time: float) -> bool:
        """Begin a trial, unless one is in progress.

        Args:
            request: The fingerprint of the request.
            time: The current event loop time.

        Returns:
            Whether the trial may begin.
        """
        if time < self._until.get(request, float("-inf")):
            return False
        self._until[request] = time + TRIAL_SECONDS
        return True

    def remove_expired(self, time: float) -> None:
        """Forget the trials that are over.

        Args:
            time: The current event loop time.
        """
        self._until = {
            request: until for request, until in self._until.items() if until > time
        }
