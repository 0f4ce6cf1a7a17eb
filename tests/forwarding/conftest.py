from __future__ import annotations

import asyncio
import random

import pytest

from balsamway.discovery import TargetDirectory, TargetEntry
from balsamway.entry import EntryRequest
from balsamway.evacuation import EvacuatedZones
from balsamway.exchange import ByteBudget
from balsamway.forwarding.forwarder import Forwarder
from balsamway.forwarding.forwarding_settings import ForwardingSettings
from balsamway.forwarding.key_owner import KeyOwner
from balsamway.forwarding.request_log import RequestLog
from balsamway.forwarding.service_targets import ServiceTargets
from balsamway.routing import (
    Backend,
    Route,
    RoutedService,
    RouteType,
    RoutingConfiguration,
)
from tests.fakes.admit_all import AdmitAll
from tests.fakes.scripted_transport import ScriptedTransport


class FakeKeyOwners:
    """Returns the same owner for every key, as set with `change`."""

    def __init__(self):
        self.current_owner = None
        self._changed = asyncio.get_running_loop().create_future()

    def find_owner(self, service, key):
        return self.current_owner

    def next_change(self):
        return self._changed

    def change(self, name, incarnation=1, has_accepted=True, accept_expected_at=0.0):
        self.current_owner = KeyOwner(
            name, incarnation, has_accepted, accept_expected_at
        )
        changed, self._changed = (
            self._changed,
            asyncio.get_running_loop().create_future(),
        )
        changed.set_result(None)


def target(name, service="s", zone="z1", capacity=3):
    return TargetEntry(name, 1, service, "127.0.0.1:1", zone, capacity, False, 0.0)


def configuration(version=1, **changes):
    fields = {
        "name": "r1",
        "host": "h",
        "path_prefix": "/a/",
        "type": RouteType.SAFE,
        "timeout_seconds": 1.0,
        "objective_seconds": 0.3,
        "priority": 1,
        "max_attempts": 2,
        "backends": (Backend("s", 1.0),),
    }
    route = Route(**(fields | changes))
    services = {"s": RoutedService("s", 110), "k": RoutedService("k", 110, True)}
    return RoutingConfiguration(version, (route,), services)


class Setup:
    """A forwarder in zone z1 with fake owners and a scripted transport."""

    def __init__(self, evacuate_seconds=None, region_by_zone=None):
        self.zones = EvacuatedZones(evacuate_seconds)
        self.directory = TargetDirectory(self.zones)
        self.targets = ServiceTargets(self.directory, lambda: None, 2.0, ByteBudget())
        self.owners = FakeKeyOwners()
        self.transport = ScriptedTransport()
        self.forwarder = Forwarder(
            "z1",
            self.targets,
            self.owners,
            self.transport,
            AdmitAll(),
            ForwardingSettings(0.2, 60, 12, region_by_zone or {}),
            (RequestLog(),),
            random.Random(1),
        )
        self._request_count = 0

    def adopt(self, **changes):
        current = self.forwarder.configuration
        version = 1 if current is None else current.version + 1
        self.forwarder.adopt(configuration(version, **changes))

    def set_targets(self, *targets):
        self.directory.replace(targets)

    async def request(self, path="/a/b", caller_timeout=None, key=None, host="h"):
        self._request_count += 1
        now = asyncio.get_running_loop().time()
        request = EntryRequest(
            f"r{self._request_count}",
            "GET",
            host,
            path,
            (),
            b"",
            now,
            caller_timeout,
            key,
        )
        return await self.forwarder.forward(request)


@pytest.fixture
async def setup():
    setup = Setup()
    setup.adopt()
    setup.set_targets(target("i-1"), target("i-2"), target("i-3"))
    return setup
