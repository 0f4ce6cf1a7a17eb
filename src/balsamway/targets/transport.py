"""The interface over which gateways send requests to targets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.outcome import Verdict
    from balsamway.store import Host
    from balsamway.targets.request import TargetRequest


class TargetTransport(Protocol):
    """Send requests to targets."""

    async def send(self, target: Host, request: TargetRequest) -> Verdict:
        """Send one attempt. Cancelling the call cancels it at the target.

        Args:
            target: The target to send to.
            request: The attempt, with the time left until its deadline.

        Returns:
            The verdict on the attempt, by its deadline.
        """
        ...
