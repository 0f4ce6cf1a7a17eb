"""One attempt of a request and the rules for sending it."""

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
        sent_to: list[str],
        hedge_budget: RetryBudget | None = None,
    ) -> None:
        """Initialize an attempt that has not been sent.

        Args:
            request: The request.
            sent_to: The names of the targets that any attempt of the request
                was sent to. All attempts of the request share this list.
            hedge_budget: The budget that a hedge takes a token from when it
                is sent. None if the attempt is not a hedge.
        """
        self._request = request
        self._sent_to = sent_to
        self._hedge_budget = hedge_budget
        self._is_sent = False

    @property
    def request(self) -> CallerRequest:
        """The request."""
        return self._request

    @property
    def is_hedge(self) -> bool:
        """Whether the attempt was made while another one is in flight."""
        return self._hedge_budget is not None

    @property
    def is_sent(self) -> bool:
        """Whether the attempt was marked as sent by `begin`."""
        return self._is_sent

    @property
    def was_sent_before(self) -> bool:
        """Whether any attempt of the request was sent before."""
        return bool(self._sent_to)

    def was_sent_to(self, target: str) -> bool:
        """Return whether the request was sent to a target before.

        Args:
            target: The target's name.

        Returns:
            Whether any attempt of the request was sent to the target.
        """
        return target in self._sent_to

    def begin(self, target: str) -> bool:
        """Mark the attempt as sent to a target, if it is allowed.

        Args:
            target: The target's name.

        Returns:
            False for a hedge that the budget does not allow, else True.
        """
        if self._hedge_budget is not None and not self._hedge_budget.try_spend():
            return False
        self._is_sent = True
        self._sent_to.append(target)
        return True
