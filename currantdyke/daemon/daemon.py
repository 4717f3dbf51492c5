"""Components of a daemon, and admission and execution of its requests."""

import functools
import itertools
import math
import pathlib
import random
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import httpx
from absl import logging

from currantdyke.bundle import ActiveBundle, Bundle, BundleFile, Pipeline
from currantdyke.callers import CallersContext
from currantdyke.core import (
    DaemonIdentity,
    Failure,
    FailureKind,
    Outcome,
    new_incarnation,
)
from currantdyke.endpoints import EndpointLiveness, EndpointTable
from currantdyke.events import Timeline
from currantdyke.limits import WorkspaceLimits
from currantdyke.metrics import Metrics
from currantdyke.operators import OperatorsContext
from currantdyke.operators.configuration import configuration_routes
from currantdyke.operators.quarantine import quarantine_routes
from currantdyke.pipelines import RunContext, make_decisions, run_request
from currantdyke.quarantine import Quarantine, SuspectIsolation, can_connect
from currantdyke.requests import Exchange, KeyTable, RequestTable
from currantdyke.settings import DaemonSettings
from currantdyke.stagecalls import http_stage_caller
from currantdyke.timers import TimerService

__all__ = ["Daemon"]

OVERLOAD_RETRY_SECONDS = 1.0


class Daemon:
    """State of one daemon.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the daemon.
    client : httpx.AsyncClient
        HTTP client for calls to endpoints.
    random_source : random.Random
        Source of random choices.
    metrics : Metrics
        Metrics of the daemon.
    can_connect : callable
        Returns whether a URL accepts connections, or None if that is unknown.
    """

    def __init__(
        self,
        *,
        settings: DaemonSettings,
        client: httpx.AsyncClient,
        random_source: random.Random | None = None,
        metrics: Metrics | None = None,
        can_connect: Callable[[str], Awaitable[bool | None]] = can_connect,
    ):
        self.settings = settings
        self.random_source = random_source or random.Random()
        self.identity = DaemonIdentity(
            name=settings.name,
            incarnation=new_incarnation(),
            availability_zone=settings.availability_zone,
        )
        self.metrics = metrics or Metrics()
        self.timers = TimerService(random_source=self.random_source)
        self.timeline = Timeline(daemon=settings.name)
        self.active_bundle = ActiveBundle()
        self.bundle_file = BundleFile(
            path=pathlib.Path(settings.bundle_file), active_bundle=self.active_bundle
        )
        self._create_endpoint_table()
        self.limits = WorkspaceLimits(now=anyio.current_time, limit_of=self._rate_limit)
        self.quarantine = Quarantine(
            now=anyio.current_time, note=self._record_quarantine_event
        )
        self.requests = RequestTable(keep_seconds=settings.answer_keep_seconds)
        self.request_ids = self.identity.request_ids()
        self.readiness_withdrawn = False
        self.draining = False
        self.tasks: anyio.abc.TaskGroup | None = None
        self.keys = KeyTable(
            now=anyio.current_time,
            count=lambda result: self.metrics.idempotency_keys.labels(result).inc(),
        )
        isolation = SuspectIsolation(
            quarantine=self.quarantine, can_connect=can_connect
        )
        self.run_context = self._new_run_context(client, isolation)

    def _create_endpoint_table(self) -> None:
        """Create the endpoint table and its liveness, both following the bundle."""
        self.endpoints = EndpointTable()
        self.active_bundle.subscribe(self.endpoints.follow)
        self.liveness = EndpointLiveness(
            table=self.endpoints,
            now=anyio.current_time,
            note=self._record_leaving,
        )
        self.active_bundle.subscribe(lambda bundle: self.liveness.follow())

    def _new_run_context(
        self, client: httpx.AsyncClient, isolation: SuspectIsolation
    ) -> RunContext:
        decisions = make_decisions(
            self.endpoints,
            self.random_source,
            daemon=self.settings.name,
            zone=self.settings.availability_zone,
        )
        return RunContext(
            call_stage=http_stage_caller(client),
            decisions=decisions,
            keys=self.keys,
            endpoints=self.endpoints,
            liveness=self.liveness,
            isolation=isolation,
            metrics=self.metrics,
            timeline=self.timeline,
            random_source=self.random_source,
            attempt_ids=self._attempt_ids(),
        )

    def callers_context(self) -> CallersContext:
        """Return the state and functions that the callers' HTTP API uses."""
        return CallersContext(
            active_bundle=self.active_bundle,
            requests=self.requests,
            identity=self.identity,
            max_body_bytes=self.settings.max_body_bytes,
            new_request_id=functools.partial(next, self.request_ids),
            submit=self.submit,
            is_draining=lambda: self.draining,
        )

    def operators_context(self) -> OperatorsContext:
        """Return the state and functions that the operators' HTTP API uses."""
        return OperatorsContext(
            metrics=self.metrics,
            timeline=self.timeline,
            active_bundle=self.active_bundle,
            is_ready=self.is_ready,
            routes=[
                *configuration_routes(self.bundle_file),
                *quarantine_routes(self.quarantine),
            ],
        )

    def is_ready(self) -> bool:
        """Return whether the load balancer may send new requests to this daemon."""
        return self.active_bundle.bundle is not None and not self.readiness_withdrawn

    def flush_seconds(self) -> float:
        """Return the seconds until the latest deadline of all requests in the table.

        Ended requests count too; 0 if it has passed or the table is empty. Callers
        that read slowly may receive their answers until that deadline.
        """
        return max(0.0, self.requests.latest_deadline() - anyio.current_time())

    def submit(
        self, bundle: Bundle, pipeline: Pipeline, exchange: Exchange
    ) -> Failure | None:
        """Admit a request and start it, or return the reason for its refusal."""
        failure = (
            self.quarantine.refuse(exchange)
            or self.limits.refuse(exchange.workspace)
            or self._admit(bundle, pipeline, exchange)
        )
        if failure is not None:
            return failure
        assert self.tasks is not None
        self.requests.open(exchange)
        self.metrics.in_flight.set(self.requests.in_flight)
        self.tasks.start_soon(self._run, bundle, pipeline, exchange)
        return None

    def _admit(
        self, bundle: Bundle, pipeline: Pipeline, exchange: Exchange
    ) -> Failure | None:
        if self.requests.in_flight < self.settings.max_requests_in_flight:
            return self.run_context.decisions.admit(bundle, pipeline, exchange)
        return Failure(
            kind=FailureKind.OVERLOADED,
            detail=f"{self.requests.in_flight} requests are in flight here",
            retry_after=OVERLOAD_RETRY_SECONDS,
        )

    async def _run(
        self, bundle: Bundle, pipeline: Pipeline, exchange: Exchange
    ) -> None:
        try:
            await run_request(self.run_context, bundle, pipeline, exchange)
        except Exception as error:
            self._settle_internal_error(exchange, error)
        finally:
            self.run_context.decisions.release(exchange)
            self.requests.close(exchange)
            self.metrics.in_flight.set(self.requests.in_flight)

    def _settle_internal_error(self, exchange: Exchange, error: Exception) -> None:
        """Settle a request whose run raised, so that its caller does not wait."""
        self.metrics.internal_errors.labels("daemon").inc()
        logging.error("request %s: %r", exchange.request_id, error, exc_info=error)
        detail = f"an error of the daemon itself ({type(error).__name__})"
        failure = Failure(
            kind=FailureKind.INTERNAL, detail=detail, outcome=Outcome.UNKNOWN
        )
        exchange.settle(failure=failure, now=anyio.current_time())

    def _record_leaving(self, endpoint: str) -> None:
        self.metrics.endpoints_leaving.inc()
        self.timeline.record("endpoints", "leaving", endpoint=endpoint)

    def _rate_limit(self, workspace: str) -> float:
        bundle = self.active_bundle.bundle
        found = bundle.workspaces.get(workspace) if bundle else None
        return found.requests_per_second if found else math.inf

    def _record_quarantine_event(self, event: str, fingerprint: str) -> None:
        self.metrics.quarantine.labels(event).inc()
        self.timeline.record("quarantine", event, detail=fingerprint)

    def _attempt_ids(self):
        prefix = f"{self.identity.name}.{self.identity.incarnation}"
        return (f"{prefix}.a{number}" for number in itertools.count(1))
