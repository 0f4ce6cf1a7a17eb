"""The targets that said in a response that they are leaving."""

from __future__ import annotations

import logging

from balsamway.clock import now

MEMORY_SECONDS = 900.0
"""How long a leaving target is remembered after it was first heard. A store
that was restored may list it again until then."""

logger = logging.getLogger(__name__)


class LeavingTargets:
    """Remembers when each incarnation first said that it is leaving.

    An incarnation that said so stays leaving. Its name or address may belong
    to another incarnation later, which starts clean.
    """

    def __init__(self) -> None:
        self._since: dict[tuple[str, int], float] = {}

    def since(self, key: tuple[str, int]) -> float | None:
        """Return when an incarnation said first that it is leaving.

        Args:
            key: The name and the incarnation of the target.

        Returns:
            The event loop time, or None if it did not say so.
        """
        return self._since.get(key)

    def add(self, key: tuple[str, int], since: float, is_from_response: bool) -> bool:
        """Record that an incarnation is leaving.

        Args:
            key: The name and the incarnation of the target.
            since: When it said so, in event loop time.
            is_from_response: Whether a response to this host said so, rather
                than the report of another host.

        Returns:
            Whether this host did not know it yet.
        """
        previous = self._since.get(key)
        if previous is not None:
            self._since[key] = min(previous, since)
            return False
        oldest = now() - MEMORY_SECONDS
        self._since = {known: at for known, at in self._since.items() if at > oldest}
        self._since[key] = since
        logger.info(
            "target-leaving",
            extra={
                "target": key[0],
                "incarnation": key[1],
                "source": "response" if is_from_response else "report",
                "seconds_ago": round(now() - since, 3),
            },
        )
        return True
