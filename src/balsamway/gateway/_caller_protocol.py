"""Respond to malformed HTTP with a verdict, like every other refusal."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong

from balsamway.gateway.request_head import response_request_id
from balsamway.gateway.response import build_response
from balsamway.outcome import MayHaveRun, NotRun, Reason

if TYPE_CHECKING:
    from balsamway.outcome import Verdict

logger = logging.getLogger(__name__)

_TOO_MANY_HEADERS = "Too many headers"


class CallerProtocol(web.RequestHandler):
    """Respond to malformed HTTP with a verdict, like every other refusal."""

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Respond to a request that could not be parsed or handled.

        Args:
            request: The request, without headers if it could not be parsed.
            status: The HTTP status that aiohttp suggests.
            exc: The error, if there is one.
            message: The error as text.

        Returns:
            The response. The connection is closed after it.
        """
        if status == 500:
            logger.error("request-failed", exc_info=exc)
        response = build_response(_verdict(status, exc), response_request_id(request))
        response.force_close()
        return response


class CallerServer(web.Server):
    """Create a `CallerProtocol` for each connection."""

    def __call__(self) -> web.RequestHandler:
        """Create the protocol of a connection."""
        return CallerProtocol(self, loop=self._loop, **self._kwargs)


def _verdict(status: int, error: BaseException | None) -> Verdict:
    if status == 500:
        return MayHaveRun(Reason.TARGET_ERROR, "the gateway failed")
    if isinstance(error, LineTooLong) or _TOO_MANY_HEADERS in str(error):
        return NotRun(Reason.HEADERS_TOO_LARGE)
    return NotRun(Reason.BAD_REQUEST, "the request is not well-formed HTTP")
