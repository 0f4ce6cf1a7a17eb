"""Brings callers' requests to targets."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.forwarding.attempt_loop import AttemptLoop
from balsamway.forwarding.retry_budget import RetryBudget
from balsamway.forwarding.service_time_estimates import ServiceTimeEstimates
from balsamway.outcome import NotRun, Reason
from balsamway.routing import RouteTable
from balsamway.routing.weighted_split import WeightedSplit

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from balsamway.entry import EntryRequest
    from balsamway.forwarding.forwarding_settings import ForwardingSettings
    from balsamway.forwarding.key_owner import KeyOwners
    from balsamway.forwarding.request_observer import RequestObserver
    from balsamway.forwarding.service_targets import ServiceTargets
    from balsamway.forwarding.target_transport import TargetTransport
    from balsamway.outcome import Verdict
    from balsamway.routing import Route, RoutingConfiguration

UNREADY_RETRY_SECONDS = 0.3
"""When to come back to a host that has no configuration yet."""

logger = logging.getLogger(__name__)


class Forwarder:
    """Routes requests under the configuration in force."""

    def __init__(
        self,
        zone: str,
        targets: ServiceTargets,
        owners: KeyOwners,
        transport: TargetTransport,
        settings: ForwardingSettings,
        observers: Sequence[RequestObserver],
        rng: random.Random,
    ) -> None:
        """Makes a forwarder without a configuration.

        Args:
            zone: The availability zone of this host.
            targets: The targets of the services.
            owners: The owners of keys.
            transport: Carries the attempts.
            settings: The bounds on repeats.
            observers: Hear what became of each request.
            rng: Draws targets and waits.
        """
        self.zone = zone
        self.targets = targets
        self.owners = owners
        self.transport = transport
        self.rng = rng
        self._observers = observers
        self._settings = settings
        self._configuration: RoutingConfiguration | None = None
        self._table = RouteTable(())
        self._splits: dict[str, WeightedSplit] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._hosts = settings.min_host_count
        self._key_counts: dict[str, dict[int, int]] = {}
        self.service_times = ServiceTimeEstimates()

    @property
    def configuration(self) -> RoutingConfiguration | None:
        """The configuration in force."""
        return self._configuration

    def adopt(self, configuration: RoutingConfiguration) -> bool:
        """Puts a configuration in force unless a later one already is.

        Args:
            configuration: The configuration.

        Returns:
            Whether it is in force now for the first time.
        """
        current = self._configuration
        if current is not None and configuration.version <= current.version:
            return False
        previous = {} if current is None else {one.name: one for one in current.routes}
        self._configuration = configuration
        self._table = RouteTable(configuration.routes)
        for route in configuration.routes:
            before = previous.get(route.name)
            if before is None or before.backends != route.backends:
                self._splits[route.name] = WeightedSplit(route.backends, self.rng)
        names = {route.name for route in configuration.routes}
        for name in [name for name in self._splits if name not in names]:
            del self._splits[name]
            self.service_times.forget_route(name)
        self.targets.set_limits(tuple(configuration.services.values()), self._hosts)
        logger.info(
            "configuration-adopted",
            extra={
                "version": configuration.version,
                "previous": current.version if current else None,
                "routes": len(configuration.routes),
            },
        )
        return True

    def set_host_count(self, hosts: int) -> None:
        """Notes among how many entry hosts the bounds are shared.

        A smaller number is not believed: hosts that cannot be heard still
        use their share.

        Args:
            hosts: How many were heard lately.
        """
        if hosts <= self._hosts:
            return
        self._hosts = hosts
        size = self._settings.host_retry_burst(hosts)
        for budget in self._budgets.values():
            budget.resize(size)
        if self._configuration is not None:
            services = tuple(self._configuration.services.values())
            self.targets.set_limits(services, hosts)

    async def forward(self, request: EntryRequest) -> Verdict:
        """Brings a request to its verdict.

        Args:
            request: The caller's request.

        Returns:
            The verdict, no later than the route's timeout.
        """
        configuration = self._configuration
        if configuration is None:
            return self._refuse(request, Reason.NO_CONFIGURATION)
        route = self._table.find(request.host, request.path)
        if route is None:
            return self._refuse(request, Reason.NO_ROUTE)
        service = configuration.services.get(self._splits[route.name].next())
        if service is None:
            return self._refuse(request, Reason.NO_TARGET)
        budget = self.budget(service.name)
        budget.on_request()
        if service.is_keyed and request.key is not None:
            counts = self._key_counts.setdefault(service.name, {})
            counts[request.key] = counts.get(request.key, 0) + 1
        run = AttemptLoop(self, request, route, service, budget)
        verdict = await self._run(run, request, route)
        for observer in self._observers:
            observer.on_finished(run, verdict)
        return verdict

    def take_key_counts(self) -> dict[str, dict[int, int]]:
        """Gives the requests for each key of each service since last asked."""
        counts, self._key_counts = self._key_counts, {}
        return counts

    def budget(self, service: str) -> RetryBudget:
        """Gives the budget for repeats to a service.

        Args:
            service: The name of the service.
        """
        found = self._budgets.get(service)
        if found is None:
            found = RetryBudget(
                self._settings.host_retry_ratio,
                self._settings.host_retry_burst(self._hosts),
            )
            self._budgets[service] = found
        return found

    def _refuse(self, request: EntryRequest, reason: Reason) -> NotRun:
        retry = None if reason is Reason.NO_ROUTE else UNREADY_RETRY_SECONDS
        refusal = NotRun(reason, retry_after_seconds=retry)
        for observer in self._observers:
            observer.on_refused(request, refusal)
        return refusal

    async def _run(
        self, run: AttemptLoop, request: EntryRequest, route: Route
    ) -> Verdict:
        try:
            async with asyncio.timeout_at(run.deadline):
                return await run.run()
        except TimeoutError:
            return run.late()
        except asyncio.CancelledError:
            for observer in self._observers:
                observer.on_cancelled(run, now() - request.arrived_at)
            raise

    def dump(self) -> dict[str, object]:
        """Gives the forwarder's state for the state dump."""
        current = self._configuration
        return {
            "version": current.version if current else None,
            "hosts": self._hosts,
            "repeats_left": {
                name: round(one.left, 2) for name, one in self._budgets.items()
            },
        }
