"""The parts of an entry host that a large body passes, without the rest."""

from __future__ import annotations

import random

from balsamway.discovery import TargetDirectory, TargetEntry
from balsamway.entry import EntryListener
from balsamway.exchange import ByteBudget
from balsamway.forwarding.forwarder import Forwarder
from balsamway.forwarding.forwarding_settings import ForwardingSettings
from balsamway.forwarding.request_log import RequestLog
from balsamway.forwarding.service_targets import ServiceTargets
from balsamway.platform.caller_codec import PlatformCallerCodec
from balsamway.platform.target_transport import PlatformTargetTransport
from balsamway.routing import (
    Backend,
    Route,
    RoutedService,
    RouteType,
    RoutingConfiguration,
)
from tests.fakes.admit_all import AdmitAll


class FinishedRequests:
    """Keeps what a `RequestObserver` is told."""

    def __init__(self):
        self.verdicts = []
        self.attempts = []
        self.cancelled = 0

    def on_refused(self, request, refusal):
        self.verdicts.append(refusal)

    def on_finished(self, attempt_loop, verdict):
        self.verdicts.append(verdict)
        self.attempts.append([attempt[2] for attempt in attempt_loop.attempts])

    def on_cancelled(self, attempt_loop, seconds):
        self.cancelled += 1


class UploadHost:
    """A listener for callers, a forwarder and the transport to targets."""

    def __init__(self, addresses, route_type=RouteType.UPLOAD, timeout_seconds=2.0):
        self.directory = TargetDirectory()
        self.targets = ServiceTargets(self.directory, lambda: None, 2.0, ByteBudget())
        self.finished = FinishedRequests()
        self.forwarder = Forwarder(
            "z",
            self.targets,
            None,
            PlatformTargetTransport(),
            AdmitAll(),
            ForwardingSettings(0.2, 60, 1),
            (RequestLog(), self.finished),
            random.Random(1),
        )
        self.listener = EntryListener(
            "127.0.0.1:0",
            PlatformCallerCodec(),
            self.forwarder.forward,
            timeout_seconds=self.forwarder.timeout_seconds,
        )
        route = Route(
            "r", "h", "/", route_type, timeout_seconds, 1.0, 1, 3, (Backend("s", 1.0),)
        )
        services = {"s": RoutedService("s", 110)}
        self.forwarder.adopt(RoutingConfiguration(1, (route,), services))
        self.directory.replace(
            [
                TargetEntry(f"i-{number}", 1, "s", address, "z", 3, False, 0.0)
                for number, address in enumerate(addresses)
            ]
        )

    async def start(self):
        await self.listener.start()
        return self

    async def stop(self):
        await self.listener.stop()
        for state in self.targets.all():
            state.pool.abort()
