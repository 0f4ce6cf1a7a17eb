"""Answers malformed HTTP with a verdict, like every other refusal."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong

from balsamway.gateway.answer import answer_of
from balsamway.gateway.request_head import request_id_of
from balsamway.outcome import MayHaveRun, NotRun, Reason

if TYPE_CHECKING:
    from balsamway.outcome import Verdict

logger = logging.getLogger(__name__)

_TOO_MANY_HEADERS = "Too many headers"


class CallerProtocol(web.RequestHandler):
    """Answers malformed HTTP with a verdict, like every other refusal."""

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answers a request that could not be parsed or handled.

        Args:
            request: The request, without headers if it could not be parsed.
            status: The status that the library suggests.
            exc: What went wrong.
            message: What went wrong, as text.

        Returns:
            The answer; the connection is closed after it.
        """
        if status == 500:
            logger.error("request-failed", exc_info=exc)
        response = answer_of(_verdict(status, exc), request_id_of(request))
        response.force_close()
        return response


class CallerServer(web.Server):
    """Makes a `CallerProtocol` for each connection."""

    def __call__(self) -> web.RequestHandler:
        """Makes the protocol of a connection."""
        return CallerProtocol(self, loop=self._loop, **self._kwargs)


def _verdict(status: int, error: BaseException | None) -> Verdict:
    if status == 500:
        return MayHaveRun(Reason.TARGET_ERROR, "the gateway failed")
    if isinstance(error, LineTooLong) or _TOO_MANY_HEADERS in str(error):
        return NotRun(Reason.HEADERS_TOO_LARGE)
    return NotRun(Reason.BAD_REQUEST, "the request is not well-formed HTTP")
