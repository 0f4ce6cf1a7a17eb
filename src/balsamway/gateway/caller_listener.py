"""Accept the requests of callers over HTTP."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import mode
from aiohttp import web

from balsamway.address import split_address
from balsamway.gateway._caller_protocol import CallerServer
from balsamway.gateway.body import read_body
from balsamway.gateway.caller_request import CallerRequest
from balsamway.gateway.gateway_limits import GatewayLimits
from balsamway.gateway.in_progress import InProgress
from balsamway.gateway.refusal import Refusal
from balsamway.gateway.request_head import read_head, response_request_id
from balsamway.gateway.response import build_response
from balsamway.outcome import NotRun, Reason

if TYPE_CHECKING:
    from balsamway.configuration.configurations import Configurations
    from balsamway.gateway.gateway import Gateway
    from balsamway.gateway.metrics import GatewayMetrics
    from balsamway.gateway.request_head import RequestHead

logger = logging.getLogger(__name__)

LINGERING_SECONDS = 1.0
"""How long the rest of a refused body is read before the connection closes."""


class CallerListener(mode.Service):
    """Accept requests from callers and respond to each with its verdict."""

    def __init__(
        self,
        address: str,
        gateway: Gateway,
        configurations: Configurations,
        metrics: GatewayMetrics,
        limits: GatewayLimits | None = None,
    ) -> None:
        """Initialize a listener that does not listen yet.

        Args:
            address: The `ip:port` to listen on. Port 0 selects a free port.
            gateway: The gateway that handles the requests.
            configurations: The configurations in force.
            metrics: The metrics that count refusals.
            limits: The limits on what is accepted from callers. None for the
                defaults.
        """
        super().__init__()
        self._listen_address = address
        self._gateway = gateway
        self._configurations = configurations
        self._metrics = metrics
        self._limits = limits or GatewayLimits()
        self._in_progress = InProgress(self._limits)
        self._runner: web.ServerRunner | None = None
        self._site: web.TCPSite | None = None
        self._latest_deadline = 0.0
        self._stopping = False

    @property
    def address(self) -> str:
        """The `ip:port` that the listener is bound to."""
        if self._runner is None:
            return self._listen_address
        ip, port = self._runner.addresses[0][:2]
        return f"{ip}:{port}"

    @property
    def in_progress(self) -> int:
        """The number of requests in progress."""
        return self._in_progress.total

    async def on_start(self) -> None:
        """Start to listen."""
        server = CallerServer(
            self._on_request,
            handler_cancellation=True,
            access_log=None,
            max_line_size=self._limits.header_bytes,
            max_field_size=self._limits.header_bytes,
            max_headers=self._limits.headers,
            lingering_time=LINGERING_SECONDS,
        )
        runner = web.ServerRunner(server)
        await runner.setup()
        self._site = web.TCPSite(runner, *split_address(self._listen_address))
        await self._site.start()
        self._runner = runner
        logger.info("callers-listening", extra={"address": self.address})

    async def on_stop(self) -> None:
        """Stop listening and wait for the requests in progress to end."""
        if self._runner is None or self._site is None:
            return
        self._stopping = True
        await self._site.stop()
        await self._in_progress.wait_until_empty(self._latest_deadline)
        await asyncio.sleep(self._limits.linger_seconds)
        await self._runner.cleanup()
        logger.info("callers-stopped", extra={"cut": self._in_progress.total})

    def dump(self) -> dict[str, object]:
        """Return the listener's state for the state dump."""
        return {
            "address": self.address,
            "stopping": self._stopping,
            "in_progress": self._in_progress.dump(),
        }

    async def _on_request(self, http_request: web.BaseRequest) -> web.StreamResponse:
        if self._stopping:
            verdict = NotRun(Reason.STOPPING, "the gateway is stopping", 1.0)
            return self._refuse(
                Refusal(
                    verdict, response_request_id(http_request), closes_connection=True
                )
            )
        head = read_head(http_request, self._configurations, self._limits)
        if isinstance(head, Refusal):
            return self._refuse(head)
        refused = self._in_progress.try_acquire(head.workspace.workspace)
        if refused is not None:
            return self._refuse(Refusal(refused, head.request_id))
        self._latest_deadline = max(self._latest_deadline, head.deadline)
        try:
            return await self._handle(http_request, head)
        finally:
            self._in_progress.release(head.workspace.workspace)

    async def _handle(
        self, http_request: web.BaseRequest, head: RequestHead
    ) -> web.StreamResponse:
        body = await read_body(http_request, head)
        if isinstance(body, NotRun):
            return self._refuse(Refusal(body, head.request_id, closes_connection=True))
        request = CallerRequest(
            workspace=head.workspace,
            service=head.service,
            kind=head.kind,
            request_id=head.request_id,
            key=head.key,
            deadline=head.deadline,
            body=body,
            content_type=head.content_type,
        )
        verdict = await self._gateway.handle(request)
        response = build_response(verdict, head.request_id)
        if self._stopping:
            response.force_close()
        return response

    def _refuse(self, refusal: Refusal) -> web.StreamResponse:
        self._metrics.on_refusal(refusal.verdict.reason)
        response = build_response(refusal.verdict, refusal.request_id)
        if refusal.closes_connection:
            response.force_close()
        return response
