"""Forwards callers' requests to targets."""

from __future__ import annotations

import asyncio
import logging
import math
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.evacuation import Regions
from balsamway.forwarding.attempt_loop import AttemptLoop
from balsamway.forwarding.retry_budget import RetryBudget
from balsamway.forwarding.service_time_estimates import ServiceTimeEstimates
from balsamway.forwarding.work_separation import WorkSeparation
from balsamway.outcome import NotRun, Reason
from balsamway.routing import ActiveRoutes

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from balsamway.entry import EntryRequest
    from balsamway.forwarding.forwarding_settings import ForwardingSettings
    from balsamway.forwarding.key_owner import KeyOwners
    from balsamway.forwarding.request_observer import RequestObserver
    from balsamway.forwarding.service_targets import ServiceTargets
    from balsamway.forwarding.target_admission import TargetAdmission
    from balsamway.forwarding.target_transport import TargetTransport
    from balsamway.outcome import Verdict
    from balsamway.routing import RoutingConfiguration

REFUSAL_RETRY_AFTER_SECONDS = 0.3
"""The Retry-After time of a request that this host refuses before any attempt
because it has no configuration, or no service, for it yet."""
MAX_LOGGED_PROBLEMS = 5
"""Bounds the logged problems of one configuration."""

logger = logging.getLogger(__name__)


class Forwarder:
    """Routes requests by the configuration in force and forwards them."""

    def __init__(
        self,
        zone: str,
        targets: ServiceTargets,
        owners: KeyOwners,
        transport: TargetTransport,
        admission: TargetAdmission,
        settings: ForwardingSettings,
        observers: Sequence[RequestObserver],
        rng: random.Random,
    ) -> None:
        """Create a forwarder without a configuration.

        Args:
            zone: The availability zone of this host.
            targets: The targets of the services.
            owners: Looks up the owners of keys.
            transport: Sends the attempts.
            admission: Keeps the limits that targets name.
            settings: The bounds on retries, and the regions of zones.
            observers: Are notified when a request ends.
            rng: Chooses among targets and adds jitter to delays.
        """
        self.zone = zone
        self.targets = targets
        self.owners = owners
        self.transport = transport
        self.admission = admission
        self.rng = rng
        self.regions = Regions(settings.region_by_zone)
        self._observers = observers
        self._settings = settings
        self._configuration: RoutingConfiguration | None = None
        self._routes = ActiveRoutes(rng)
        self._budgets: dict[str, RetryBudget] = {}
        self._host_count = settings.min_host_count
        self._last_attempt_at = math.inf
        self._key_counts: dict[str, dict[int, int]] = {}
        self.service_times = ServiceTimeEstimates()
        self.work_separation = WorkSeparation()

    @property
    def configuration(self) -> RoutingConfiguration | None:
        """The configuration in force."""
        return self._configuration

    def adopt(self, configuration: RoutingConfiguration) -> bool:
        """Put a configuration in force unless it is not newer.

        Args:
            configuration: The configuration to adopt.

        Returns:
            Whether the configuration was adopted. False means that the same
            or a later version is in force already.
        """
        current = self._configuration
        if current is not None and configuration.version <= current.version:
            return False
        self._configuration = configuration
        for removed in self._routes.replace(configuration.routes):
            self.service_times.forget_route(removed)
        self.work_separation.replace(configuration.routes)
        self.targets.set_limits(
            tuple(configuration.services.values()), self._host_count
        )
        logger.info(
            "configuration-adopted",
            extra={
                "version": configuration.version,
                "previous": current.version if current else None,
                "routes": len(configuration.routes),
            },
        )
        if configuration.problems:
            logger.error(
                "configuration-partly-unreadable",
                extra={
                    "version": configuration.version,
                    "problems": len(configuration.problems),
                    "first": configuration.problems[:MAX_LOGGED_PROBLEMS],
                },
            )
        return True

    def set_host_count(self, host_count: int) -> None:
        """Raise the number of entry hosts that share the bounds.

        The bounds on retries and on connections to a target are shared. A
        lower number is ignored, because hosts that cannot be reached still
        use their share.

        Args:
            host_count: The number of entry hosts that were reached recently.
        """
        if host_count <= self._host_count:
            return
        self._host_count = host_count
        size = self._settings.host_retry_burst(host_count)
        for budget in self._budgets.values():
            budget.resize(size)
        if self._configuration is not None:
            services = tuple(self._configuration.services.values())
            self.targets.set_limits(services, host_count)

    @property
    def is_sending(self) -> bool:
        """Whether an attempt may still begin before this host stops."""
        return now() < self._last_attempt_at

    def stop_sending_at(self, last_attempt_at: float) -> None:
        """Refuse requests whose next attempt would begin too late.

        Args:
            last_attempt_at: When attempts stop, in event loop time.
        """
        self._last_attempt_at = last_attempt_at

    def timeout_seconds(self, host: str, path: str) -> float | None:
        """Return how long a request may take; see `ActiveRoutes`."""
        return self._routes.timeout_seconds(host, path)

    async def forward(self, request: EntryRequest) -> Verdict:
        """Forward a request and return the verdict on it.

        Args:
            request: The caller's request.

        Returns:
            The verdict, no later than the route's timeout.
        """
        configuration = self._configuration
        if configuration is None:
            return self._refuse(request, Reason.NO_CONFIGURATION)
        choice = self._routes.choose(request.host, request.path)
        if choice is None:
            return self._refuse(request, Reason.NO_ROUTE)
        service = configuration.services.get(choice.service or "")
        if service is None:
            return self._refuse(request, Reason.NO_TARGET)
        budget = self.budget(service.name)
        budget.record_request()
        if service.is_keyed and request.key is not None:
            counts = self._key_counts.setdefault(service.name, {})
            counts[request.key] = counts.get(request.key, 0) + 1
        self.work_separation.record(choice.route.id, service.name)
        attempt_loop = AttemptLoop(self, request, choice.route, service, budget)
        verdict = await self._run_until_deadline(attempt_loop, request)
        for observer in self._observers:
            observer.on_finished(attempt_loop, verdict)
        return verdict

    def take_key_counts(self) -> dict[str, dict[int, int]]:
        """Return and reset the request counts by service and key."""
        counts, self._key_counts = self._key_counts, {}
        return counts

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service, and create it if needed.

        Args:
            service: The name of the service.
        """
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                self._settings.host_retry_ratio,
                self._settings.host_retry_burst(self._host_count),
            )
            self._budgets[service] = budget
        return budget

    def _refuse(self, request: EntryRequest, reason: Reason) -> NotRun:
        retry_after = None if reason is Reason.NO_ROUTE else REFUSAL_RETRY_AFTER_SECONDS
        refusal = NotRun(reason, retry_after_seconds=retry_after)
        for observer in self._observers:
            observer.on_refused(request, refusal)
        return refusal

    async def _run_until_deadline(
        self, attempt_loop: AttemptLoop, request: EntryRequest
    ) -> Verdict:
        try:
            async with asyncio.timeout_at(attempt_loop.deadline):
                return await attempt_loop.run()
        except TimeoutError:
            return attempt_loop.deadline_verdict()
        except asyncio.CancelledError:
            for observer in self._observers:
                observer.on_cancelled(attempt_loop, now() - request.arrived_at)
            raise

    def dump(self) -> dict[str, object]:
        """Return the forwarder's state for the state dump."""
        current = self._configuration
        return {
            "version": current.version if current else None,
            "hosts": self._host_count,
            "repeats_left": {
                name: round(budget.remaining, 2)
                for name, budget in self._budgets.items()
            },
        }
