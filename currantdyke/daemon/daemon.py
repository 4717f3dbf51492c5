"""The parts of a daemon and how a request goes through them."""

import functools
import itertools
import math
import random
import time
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import httpx
from absl import logging

from currantdyke.bundle import (
    Bundle,
    BundleInForce,
    ConfigurationFeed,
    Follower,
    Pipeline,
)
from currantdyke.bundle.collect import Collector
from currantdyke.callers import CallersFace
from currantdyke.callers.relay import Relay, RunningAt
from currantdyke.claims import ClaimGate, Claims
from currantdyke.core import (
    DaemonIdentity,
    Failure,
    FailureKind,
    Outcome,
    new_incarnation,
)
from currantdyke.endpoints import EndpointLiveness, EndpointTable
from currantdyke.events import Timeline
from currantdyke.limits import FleetLimits
from currantdyke.membership import FactStore, Membership
from currantdyke.metrics import Metrics
from currantdyke.operators import OperatorsFace
from currantdyke.operators.configuration import configuration_routes
from currantdyke.operators.members import members_routes
from currantdyke.operators.quarantine import quarantine_routes
from currantdyke.peers import Member
from currantdyke.pipelines import RunParts, make_decisions, run_request
from currantdyke.platformlist import PlatformList
from currantdyke.quarantine import Quarantine, Turns, can_connect
from currantdyke.requests import Exchange, RequestTable
from currantdyke.settings import DaemonSettings
from currantdyke.stagecalls import http_stage_caller
from currantdyke.store import Store
from currantdyke.timers import TimerService

__all__ = ["Daemon"]

OVERLOAD_RETRY_SECONDS = 1.0


class Daemon:
    """One daemon's state.

    Parameters
    ----------
    settings : DaemonSettings
        Its own settings.
    store : Store
        The platform's key-value service.
    client : httpx.AsyncClient
        The client for endpoints.
    random_source : random.Random
        Source of random choices.
    metrics : Metrics
        Its counters.
    wall_clock : callable
        Returns the wall clock's time in seconds.
    platform_list : PlatformList, optional
        The platform's list of VMs.
    can_connect : callable
        Returns whether a URL takes connections, or None where that is unclear.
    """

    def __init__(
        self,
        *,
        settings: DaemonSettings,
        store: Store,
        client: httpx.AsyncClient,
        random_source: random.Random | None = None,
        metrics: Metrics | None = None,
        wall_clock: Callable[[], float] = time.time,
        platform_list: PlatformList | None = None,
        can_connect: Callable[[str], Awaitable[bool | None]] = can_connect,
    ):
        self.settings = settings
        self.store = store
        self.random_source = random_source or random.Random()
        self.identity = DaemonIdentity(
            name=settings.name,
            incarnation=new_incarnation(),
            availability_zone=settings.availability_zone,
        )
        self.metrics = metrics or Metrics()
        self.timers = TimerService(random_source=self.random_source)
        self.timeline = Timeline(daemon=settings.name)
        self._hold_configuration()
        self._know_endpoints()
        self.platform_list = platform_list
        self.limits = FleetLimits(now=anyio.current_time, limit_of=self._limit_of)
        self.quarantine = self._new_quarantine()
        self.requests = RequestTable(keep_seconds=settings.answer_keep_seconds)
        self.relay = Relay(
            identity=self.identity, client=client, find_daemon=self._running_at
        )
        self.request_ids = self.identity.request_ids()
        self.leaving = False
        self.draining = False
        self.tasks: anyio.abc.TaskGroup | None = None
        self.membership: Membership | None = None
        self.claims = Claims(
            store=store,
            daemon=settings.name,
            wall_clock=wall_clock,
            random_source=self.random_source,
        )
        turns = Turns(quarantine=self.quarantine, can_connect=can_connect)
        self.run_parts = self._new_run_parts(client, turns)

    def _hold_configuration(self) -> None:
        """Make what holds the version in force, and what brings the next."""
        self.in_force = BundleInForce()
        self.configuration = ConfigurationFeed(
            in_force=self.in_force, random_source=self.random_source
        )
        self.follower = Follower(
            store=self.store,
            feed=self.configuration,
            name=self.settings.name,
            region=self.settings.region,
            random_source=self.random_source,
        )
        self.collector = Collector(
            store=self.store,
            feed=self.configuration,
            is_collector=self.follower.is_collector,
        )

    def _know_endpoints(self) -> None:
        """Make the table of endpoints, which follows the version in force."""
        self.endpoints = EndpointTable()
        self.in_force.subscribe(self.endpoints.follow)
        self.liveness = EndpointLiveness(
            table=self.endpoints,
            now=anyio.current_time,
            note=self._note_leaving,
        )
        self.in_force.subscribe(lambda bundle: self.liveness.follow())

    def _new_quarantine(self) -> Quarantine:
        facts = FactStore(
            origin=self.settings.name,
            clock=self.timeline.clock,
            now=anyio.current_time,
        )
        return Quarantine(
            daemon=self.settings.name,
            facts=facts,
            now=anyio.current_time,
            note=self._note_quarantine,
        )

    def _new_run_parts(self, client: httpx.AsyncClient, turns: Turns) -> RunParts:
        decisions = make_decisions(
            self.endpoints,
            self.random_source,
            daemon=self.settings.name,
            zone=self.settings.availability_zone,
            count_daemons=self.count_daemons,
        )
        gate = ClaimGate(
            claims=self.claims, requests=self.requests, metrics=self.metrics
        )
        return RunParts(
            call_stage=http_stage_caller(client),
            decisions=decisions,
            claims=gate,
            endpoints=self.endpoints,
            liveness=self.liveness,
            turns=turns,
            metrics=self.metrics,
            timeline=self.timeline,
            random_source=self.random_source,
            attempt_ids=self._attempt_ids(),
        )

    def callers_face(self) -> CallersFace:
        """Return what the callers' HTTP face needs."""
        return CallersFace(
            in_force=self.in_force,
            requests=self.requests,
            relay=self.relay,
            max_body_bytes=self.settings.max_body_bytes,
            new_request_id=functools.partial(next, self.request_ids),
            submit=self.submit,
            is_draining=lambda: self.draining,
        )

    def operators_face(self) -> OperatorsFace:
        """Return what the operators' HTTP face needs."""
        return OperatorsFace(
            metrics=self.metrics,
            timeline=self.timeline,
            in_force=self.in_force,
            is_ready=self.is_ready,
            routes=[
                *configuration_routes(self.configuration, self.follower),
                *members_routes(lambda: self.membership),
                *quarantine_routes(self.quarantine),
            ],
        )

    def count_daemons(self) -> int:
        """Return how many daemons are known to live, this one included."""
        return len(self.membership.live_members()) if self.membership else 1

    def is_ready(self) -> bool:
        """Return whether the balancer may send new requests here."""
        return self.follower.is_ready() and not self.leaving

    def find_daemon(self, name: str) -> Member | None:
        """Return the daemon of a name, with the URL that relays go to."""
        return self.membership.find_daemon(name) if self.membership else None

    def _running_at(self, name: str) -> RunningAt | None:
        member = self.find_daemon(name)
        if member is None:
            return None
        return RunningAt(url=member.url, incarnation=member.incarnation)

    def flush_seconds(self) -> float:
        """Return how long callers may still read answers at their own pace."""
        return max(0.0, self.requests.latest_deadline() - anyio.current_time())

    def submit(
        self, bundle: Bundle, pipeline: Pipeline, exchange: Exchange
    ) -> Failure | None:
        """Admit a request and start it, or say why not."""
        refused = (
            self.quarantine.refuse(exchange)
            or self.limits.refuse(exchange.workspace)
            or self._admit(bundle, pipeline, exchange)
        )
        if refused is not None:
            return refused
        assert self.tasks is not None
        self.requests.open(exchange)
        self.metrics.in_flight.set(self.requests.in_flight)
        self.tasks.start_soon(self._run, bundle, pipeline, exchange)
        return None

    def _admit(
        self, bundle: Bundle, pipeline: Pipeline, exchange: Exchange
    ) -> Failure | None:
        if self.requests.in_flight < self.settings.max_requests_in_flight:
            return self.run_parts.decisions.admit(bundle, pipeline, exchange)
        return Failure(
            kind=FailureKind.OVERLOADED,
            detail=f"{self.requests.in_flight} requests are in flight here",
            retry_after=OVERLOAD_RETRY_SECONDS,
        )

    async def _run(
        self, bundle: Bundle, pipeline: Pipeline, exchange: Exchange
    ) -> None:
        try:
            await run_request(self.run_parts, bundle, pipeline, exchange)
        except Exception as error:
            self._settle_broken(exchange, error)
        finally:
            self.run_parts.decisions.ended(exchange)
            self.requests.close(exchange)
            self.metrics.in_flight.set(self.requests.in_flight)

    def _settle_broken(self, exchange: Exchange, error: Exception) -> None:
        """End a request whose run raised, so that its caller never waits."""
        self.metrics.internal_errors.labels("daemon").inc()
        logging.error("request %s: %r", exchange.request_id, error, exc_info=error)
        detail = f"an error of the daemon itself ({type(error).__name__})"
        failure = Failure(
            kind=FailureKind.INTERNAL, detail=detail, outcome=Outcome.UNKNOWN
        )
        exchange.settle(failure=failure, now=anyio.current_time())

    def _note_leaving(self, endpoint: str, source: str) -> None:
        self.metrics.endpoints_leaving.labels(source).inc()
        self.timeline.record("endpoints", "leaving", endpoint=endpoint, detail=source)

    def _limit_of(self, workspace: str) -> float:
        bundle = self.in_force.bundle
        found = bundle.workspaces.get(workspace) if bundle else None
        return found.requests_per_second if found else math.inf

    def _note_quarantine(self, name: str, fingerprint: str) -> None:
        self.metrics.quarantine.labels(name).inc()
        self.timeline.record("quarantine", name, detail=fingerprint)

    def _attempt_ids(self):
        prefix = f"{self.identity.name}.{self.identity.incarnation}"
        return (f"{prefix}.a{number}" for number in itertools.count(1))
