"""One attempt of a request, and what it must heed."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.gateway.caller_request import CallerRequest
    from balsamway.gateway.retry_budget import RetryBudget


class Attempt:
    """One attempt of a request, and what it must heed."""

    def __init__(
        self,
        request: CallerRequest,
        tried: list[str],
        hedge_budget: RetryBudget | None = None,
    ) -> None:
        """Makes an attempt that has not been sent.

        Args:
            request: The request.
            tried: The targets that the request was sent to, by any attempt.
            hedge_budget: For a hedge, what it takes a token from when it is
                sent.
        """
        self._request = request
        self._tried = tried
        self._hedge_budget = hedge_budget
        self._is_sent = False

    @property
    def request(self) -> CallerRequest:
        """The request."""
        return self._request

    @property
    def is_hedge(self) -> bool:
        """Whether another attempt of the request is in flight."""
        return self._hedge_budget is not None

    @property
    def is_sent(self) -> bool:
        """Whether the attempt was handed to the transport."""
        return self._is_sent

    @property
    def has_tried(self) -> bool:
        """Whether the request was sent to any target before."""
        return bool(self._tried)

    def was_tried(self, target: str) -> bool:
        """Tells whether the request was sent to a target before.

        Args:
            target: The target's name.

        Returns:
            Whether any attempt of the request was sent to it.
        """
        return target in self._tried

    def begin(self, target: str) -> bool:
        """Marks the attempt as sent, if it is allowed.

        Args:
            target: The target's name.

        Returns:
            False for a hedge that the budget does not allow.
        """
        if self._hedge_budget is not None and not self._hedge_budget.withdraw():
            return False
        self._is_sent = True
        self._tried.append(target)
        return True
