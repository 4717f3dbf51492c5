"""Build, start and stop the components of one gateway process."""

import functools
import os
import signal
import uuid
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from typing import Any

import anyio
import anyio.abc

from currantdyke.catalog import Catalog, Endpoint, Repeatability
from currantdyke.crashes import CrashDetector, CrashTable, GroupRecorder
from currantdyke.crashes.lifetimes import read_lifetime
from currantdyke.decisionlog import (
    DecisionLog,
    keep_running,
    log_internal_error,
    run_logged,
)
from currantdyke.directory import Directory, Follower
from currantdyke.endpointlimits.client import EndpointLimits
from currantdyke.endpointlimits.cold import ColdBounds, ColdEndpoints
from currantdyke.endpointlimits.messages import LimitReport, TokenRequest
from currantdyke.endpointlimits.owners import LimitOwners
from currantdyke.endpointlimits.table import LimitTable
from currantdyke.endpointloads.table import LoadTable
from currantdyke.endpointslots.client import EndpointSlots
from currantdyke.endpointslots.fragile import FragileServices
from currantdyke.endpointslots.messages import (
    ServiceFragile,
    SlotRelease,
    SlotRequest,
)
from currantdyke.endpointstates.leaving import LeavingEndpoints
from currantdyke.endpointstates.messages import EndpointLeaving, EndpointPaused
from currantdyke.endpointstates.pauses import PauseTable
from currantdyke.endpointstates.states import EndpointStates
from currantdyke.forward.budget import FleetRetryBudget
from currantdyke.forward.context import ForwardContext
from currantdyke.gateway.caller_server import CallerServer
from currantdyke.gateway.clocks import StallDetector
from currantdyke.gateway.handler import RequestHandler
from currantdyke.gateway.limit_log import LimitLog
from currantdyke.gateway.memory import MemoryAccount
from currantdyke.gateway.metrics import GatewayMetrics
from currantdyke.gateway.pages import Page, serve_pages
from currantdyke.gateway.registration import REGISTRATION_CHECK_SECONDS, Registration
from currantdyke.gateway.reload import SettingsFile
from currantdyke.gateway.settings import GatewaySettings
from currantdyke.largevalues.messages import PartRequest
from currantdyke.links import (
    ChangesRequest,
    Content,
    CrashReport,
    GroupCondemned,
    KeysCleared,
    Link,
    Peers,
    Unknown,
)
from currantdyke.links.changes import answer_changes
from currantdyke.links.codec import (
    LEAVING_PROTOCOL,
    LIMITS_PROTOCOL,
    PROTOCOL,
    SLOTS_PROTOCOL,
    TUNNELS_PROTOCOL,
)
from currantdyke.links.tunnels import open_tunnel, serve_tunnel
from currantdyke.platform.names import METRICS_PORT, METRICS_TARGET, READY_TARGET
from currantdyke.platform.records import DaemonEntry
from currantdyke.platform.store import StoreClient
from currantdyke.scheduler.client import SchedulerClient
from currantdyke.scheduler.groups import service_groups
from currantdyke.scheduler.messages import (
    PlacementRequest,
    Progress,
)
from currantdyke.scheduler.scheduler import Scheduler
from currantdyke.scheduler.stagecall import free_results, run_pieces
from currantdyke.scheduler.stages import StageQueues
from currantdyke.signals import receive_signals
from currantdyke.streamversions.client import FleetStreamVersions
from currantdyke.streamversions.messages import StreamVersions, VersionRequest
from currantdyke.streamversions.recorder import VersionsRecorder
from currantdyke.timers import TimerService
from currantdyke.tunnels.client import TunnelClient
from currantdyke.tunnels.paths import EndpointPaths
from currantdyke.tunnels.server import TunnelServer

__all__ = ["GatewayDaemon"]

SIGNALS = (signal.SIGTERM, signal.SIGHUP)
# Share of the file descriptors that is reserved for files, links, endpoints and the
# store; callers get the rest.
RESERVED_DESCRIPTOR_SHARE = 0.5
# Of the memory, for bodies, answers and data read ahead of callers. A process of 152 MB
# takes 50 MB before the first request.
CALLER_MEMORY_SHARE = 0.25
# Of the descriptors, for the two connections of each tunnel of another daemon.
TUNNEL_DESCRIPTOR_SHARE = 0.2
# The platform takes a daemon out of rotation after two failed probes, 1 s apart.
ROTATION_REMOVAL_SECONDS = 3.0
# A stopping daemon accepts requests of any length for this long. The users allow that
# the end of the process cuts those that were sent in the first three seconds.
ACCEPT_ALL_SECONDS = 2.5
# The process exits this long before the platform would kill it.
SHUTDOWN_MARGIN_SECONDS = 1.0
DRAIN_CHECK_SECONDS = 0.1
STALE_CHECK_SECONDS = 1.0
CLOCK_CHECK_SECONDS = 0.25
# Small compared with the grace period of lapsed endpoints.
EXPIRY_CHECK_SECONDS = 0.25
SETTINGS_CHECK_SECONDS = 1.0
CRASH_CHECK_SECONDS = 0.25
# The end of a cut is found within this time, by one connection each.
PATHS_CHECK_SECONDS = 0.5
# The record matters once all daemons have stopped.
VERSIONS_CHECK_SECONDS = 0.5
# An endpoint that has become warm has no limit from then on; this only logs it.
COLD_CHECK_SECONDS = 0.5
# Part of the retries of a window that a new owner of stage calls may send at once. Five
# owners in turn, and what is refilled meanwhile, stay within the window's retries.
NEW_OWNER_RETRY_SHARE = 0.08
# A lease and an entry. In a new era of the store, and when it has lost all entries, all
# daemons may use this share of its writes, since others write again what it lacks too.
REGISTRATION_WRITES = 2
REGISTRATION_RATE_SHARE = 0.5
# The daemon that owns a stage queue logs it this often while there is work.
QUEUE_LOG_SECONDS = 1.0
MAX_LOGGED_PROBLEMS = 20


class GatewayDaemon:
    """The components of a gateway process and the tasks that run them.

    Parameters
    ----------
    settings : GatewaySettings
        Settings that the platform gave this process.
    log : DecisionLog
        Receives a line for each decision.
    settings_file : SettingsFile or None
        Watched for changes. With None, as in tests, no signals are handled either, and
        the test sets `stop_requested`.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        log: DecisionLog,
        settings_file: SettingsFile | None = None,
    ):
        self.settings = settings
        self.settings_file = settings_file
        self.stall_detector = StallDetector(period=CLOCK_CHECK_SECONDS)
        self.log = log
        self.metrics = GatewayMetrics()
        self.directory = Directory(
            log=log, configuration_delay=settings.configuration_delay
        )
        self.own_entry = DaemonEntry(
            name=settings.name,
            ip=settings.ip,
            availability_zone=settings.availability_zone,
            incarnation=uuid.uuid4().hex[:12],
            cores=settings.cores,
            protocol=PROTOCOL,
        )
        self.peers = Peers(
            own=self.own_entry,
            port=settings.peer_port,
            seed_ips=settings.seed_ips,
            directory=self.directory,
            log=log,
            handle_request=self._answer_peer,
            handle_notification=self._handle_peer_notification,
            on_link_lost=self._on_link_lost,
            is_congested=lambda: self.follower.is_link_slow(),
        )
        self.store = self._store_client("directory")
        self.follower = Follower(
            directory=self.directory,
            store=self.store,
            log=log,
            reads_per_second=settings.store.reads_per_second,
            heartbeat=settings.heartbeat,
            ask_peer=self.peers.ask_changes,
            ask_peer_once=self.peers.ask_changes_once,
            ask_relay=self.peers.ask_relay,
            is_fetching=lambda: self.peers.fetcher.progressing,
            reads_itself=self.peers.reads_itself,
            has_peers=self.peers.has_others,
        )
        self.registration = Registration(
            entry=self.own_entry,
            store=self._store_client("registration"),
            replica=self.directory.replica,
            log=log,
            spread_seconds=self._registration_seconds,
        )
        crash_table = CrashTable(now=anyio.current_time, log=log)
        self.crashes = CrashDetector(
            table=crash_table,
            recorder=GroupRecorder(
                table=crash_table,
                store=self._store_client("crashes"),
                log=log,
            ),
            log=log,
            broadcast=self.peers.broadcast,
            find_endpoint=lambda instance: self.directory.endpoints.known.get(instance),
            refuses_connections=lambda endpoint: self.paths.refuses(endpoint),
            read_lifetime=self._read_lifetime,
        )
        self.endpoint_limits = EndpointLimits(
            log=log,
            request=self.peers.request,
            send=self.peers.send,
            broadcast=functools.partial(self.peers.broadcast, protocol=LIMITS_PROTOCOL),
            owners=LimitOwners(
                ranked_daemons=functools.partial(
                    self._ranked_owners, protocol=LIMITS_PROTOCOL
                ),
                check=self.peers.check,
            ),
            count_daemons=self.count_daemons,
            cold=ColdEndpoints(
                log=log,
                catalog=self._catalog,
                bounds=ColdBounds.of(settings.cold_overage, settings.cold_tolerance),
            ),
            table=LimitTable(position=self.position_among_daemons),
        )
        self.versions = FleetStreamVersions(
            own_ip=settings.ip,
            directory=self.directory,
            log=log,
            request=self.peers.request,
            send=self.peers.send,
            others=self._version_replicas,
        )
        self.versions_recorder = VersionsRecorder(
            versions=self.versions,
            store=self.crashes.recorder.store,
            log=log,
            is_owner=lambda service: not self.endpoint_limits.owners.find(service).ip,
        )
        self.slot_owners = LimitOwners(
            ranked_daemons=functools.partial(
                self._ranked_owners, protocol=SLOTS_PROTOCOL
            ),
            check=self.peers.check,
        )
        self.leaving = LeavingEndpoints(
            endpoints=self.directory.endpoints,
            log=log,
            send=functools.partial(self.peers.send, protocol=LEAVING_PROTOCOL),
            broadcast=functools.partial(
                self.peers.broadcast, protocol=LEAVING_PROTOCOL
            ),
            owners=self.endpoint_limits.owners,
        )
        self.slots = EndpointSlots(
            fragile=FragileServices(
                log=log,
                send=functools.partial(self.peers.send, protocol=SLOTS_PROTOCOL),
                broadcast=functools.partial(
                    self.peers.broadcast, protocol=SLOTS_PROTOCOL
                ),
                owners=self.slot_owners,
            ),
            endpoints=self.directory.endpoints,
            log=log,
            request=self.peers.request,
            send=self.peers.send,
            start=self._start,
            owners=self.slot_owners,
        )
        self.endpoint_states = EndpointStates(
            fragile=self.slots.fragile,
            limits=self.endpoint_limits,
            leaving=self.leaving,
            pauses=PauseTable(),
            loads=LoadTable(
                log=log,
                count_own=lambda instance: self.context.health.count_in_flight(
                    instance
                ),
            ),
            send=functools.partial(self.peers.send, protocol=TUNNELS_PROTOCOL),
        )
        self.paths = EndpointPaths(
            endpoints=self.directory.endpoints,
            tunnels=TunnelClient(
                availability_zone=settings.availability_zone,
                daemons=functools.partial(self._staying_daemons, TUNNELS_PROTOCOL),
                open_tunnel=functools.partial(open_tunnel, port=settings.peer_port),
            ),
            log=log,
            # Idle connections, whose path to their endpoints may be cut.
            on_blocked=lambda instance: self._start(
                self.context.connections.forget, instance
            ),
            on_cut_off=lambda: self._start(self.context.connections.close_all),
        )
        self.tunnels = TunnelServer(
            endpoints=self.directory.endpoints,
            paths=self.paths,
            pauses=self.endpoint_states.pauses,
            is_stopping=lambda: self.caller_server.draining,
            max_open=int(settings.file_descriptors * TUNNEL_DESCRIPTOR_SHARE / 2),
        )
        self.peers.serve_tunnel = functools.partial(serve_tunnel, server=self.tunnels)
        self.context = ForwardContext(
            versions=self.versions,
            states=self.endpoint_states,
            slots=self.slots,
            crashes=self.crashes,
            directory=self.directory,
            log=log,
            availability_zone=settings.availability_zone,
            retry_ratio=settings.retry_ratio,
            retry_window=settings.retry_window,
            retry_slack=settings.retry_slack,
            count_daemons=self.count_daemons,
        )
        self.context.connections.connect = self.paths.connect
        self.context.connections.is_withheld = self.directory.endpoints.is_evacuated
        self.stages = StageQueues(
            directory=self.directory,
            run_pieces=functools.partial(run_pieces, self.context.connections),
            free_results=functools.partial(free_results, self.context.connections),
            log=log,
            retry_budget=self._stage_retry_budget,
            # Only the owner of a service spends the budget for retries of its stage
            # calls.
            count_daemons=lambda: 1,
            endpoint_limits=self.endpoint_limits,
            endpoint_slots=self.slots,
            pauses=self.endpoint_states.pauses,
            loads=self.endpoint_states.loads,
        )
        self.scheduler = Scheduler(
            directory=self.directory, stages=self.stages, log=log
        )
        self.scheduler_client = SchedulerClient(
            peers=self.peers,
            local=self.scheduler,
            log=log,
            is_leaving=lambda: self.caller_server.draining,
        )
        self.handler = RequestHandler(
            directory=self.directory,
            context=self.context,
            scheduler=self.scheduler_client,
            log=log,
            metrics=self.metrics,
        )
        self.limit_log = LimitLog(log=log, counter=self.metrics.connections_closed)
        descriptors = settings.file_descriptors * (1 - RESERVED_DESCRIPTOR_SHARE)
        self.caller_server = CallerServer(
            address=settings.caller_address,
            directory=self.directory,
            handler=self.handler,
            max_connections=int(descriptors),
            memory=MemoryAccount(
                limit_bytes=settings.memory_bytes * CALLER_MEMORY_SHARE,
                on_close=lambda: self.limit_log.record("memory"),
            ),
            limit_log=self.limit_log,
        )
        self.timers = TimerService()
        self.stop_requested = anyio.Event()
        # Attempt ids of the requests that the peer at each link has placed here; they
        # are cancelled if the link breaks.
        self.attempts_by_link: dict[Link, set[str]] = {}
        self.stage_retry_budgets: dict[str, FleetRetryBudget] = {}
        self.directory.on_configuration.append(self._on_configuration)
        self.directory.on_crash_group.append(self.crashes.on_record)
        self.directory.on_versions_record.append(self.versions.on_record)
        self.directory.on_era += [
            self.registration.on_era,
            self.versions_recorder.on_era,
        ]
        self.directory.endpoints.on_entry.append(self.endpoint_limits.cold.on_entry)
        self.directory.endpoints.watchers.append(self._on_endpoint_change)

    def _store_client(self, name: str) -> StoreClient:
        """Return a client of the store; the log names what it is used for."""

        def log_unusable_era(found: str | None) -> None:
            self.log.write("store_era_unusable", client=name, found=found)

        return StoreClient(
            address=self.settings.store.address, on_unusable_era=log_unusable_era
        )

    def _registration_seconds(self) -> float:
        """Return the seconds over which all daemons register again."""
        writes = REGISTRATION_WRITES * self.count_daemons()
        return writes / (
            REGISTRATION_RATE_SHARE * self.settings.store.writes_per_second
        )

    def count_daemons(self) -> int:
        """Return how many daemons share the budgets of the fleet."""
        return max(1, len(self.directory.daemons))

    def position_among_daemons(self) -> float:
        """Return the place of this daemon in the order of names, from 0 to 1."""
        names = self.directory.daemons
        return sum(name < self.own_entry.name for name in names) / self.count_daemons()

    def _catalog(self) -> Catalog | None:
        routes = self.directory.routes
        return None if routes is None else routes.catalog

    def _ranked_owners(
        self, service: str, suspected: bool, *, protocol: int
    ) -> list[str]:
        """Return the IPs of the daemons that own a service's limits, in order."""
        ranked = self.scheduler_client.ranked_daemons(
            service, protocol=protocol, suspected=suspected
        )
        return [ip for _, ip in ranked]

    def _staying_daemons(self, protocol: int) -> list[DaemonEntry]:
        """Return the others that know a protocol and are not about to leave."""
        return [
            daemon
            for daemon in self.peers.others()
            if not daemon.leaving and daemon.protocol >= protocol
        ]

    def _start(self, task: Callable[..., Awaitable[None]], *arguments: Any) -> None:
        """Run a task in the background; its errors end nothing else."""
        self.tasks.start_soon(run_logged, self.log, task, *arguments)

    def _version_replicas(self) -> list[str]:
        """Return the IPs of the daemons that may hold versions of streams."""
        return [daemon.ip for daemon in self._staying_daemons(LIMITS_PROTOCOL)]

    async def run(self) -> None:
        """Serve until a stop is requested, then finish the requests in progress."""
        if self.settings_file is None:
            await self._serve()
            return
        self.settings_file.apply = self._apply_settings
        with receive_signals(*SIGNALS) as signals:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._handle_signals, self.settings_file, signals)
                await self._serve()
                tasks.cancel_scope.cancel()

    async def _serve(self) -> None:
        self.log.write(
            "started",
            incarnation=self.own_entry.incarnation,
            process=os.getpid(),
            address=self.settings.caller_address,
            availability_zone=self.settings.availability_zone,
        )
        self.scheduler_client.started_at = anyio.current_time()
        self.slots.started_at = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            # Without this there is nothing to serve: a failure ends the process.
            tasks.start_soon(self.caller_server.run)
            for background_task in self._background_tasks():
                tasks.start_soon(keep_running, background_task, self.log)
            self.timers.every(
                STALE_CHECK_SECONDS,
                self.context.connections.close_stale,
                name="close stale connections",
            )
            self.timers.every(
                EXPIRY_CHECK_SECONDS,
                self.follower.expire_entries,
                name="expire entries of the directory",
            )
            self.timers.every(
                REGISTRATION_CHECK_SECONDS,
                self.registration.check,
                name="check registration",
            )
            self.timers.every(
                COLD_CHECK_SECONDS,
                self.endpoint_limits.expire_cold,
                name="end the limits of warm endpoints",
            )
            self.timers.every(
                CRASH_CHECK_SECONDS, self.crashes.check, name="check crashes"
            )
            self.timers.every(
                PATHS_CHECK_SECONDS,
                self.paths.check_blocked,
                name="check blocked endpoints",
            )
            self.timers.every(
                VERSIONS_CHECK_SECONDS,
                self.versions_recorder.check,
                name="record services with several versions",
            )
            self.timers.every(
                QUEUE_LOG_SECONDS, self.stages.log_queues, name="log stage queues"
            )
            self.timers.every(
                CLOCK_CHECK_SECONDS,
                self._check_for_stall,
                name="check for stall",
                jitter=0.0,
            )
            if self.settings_file is not None:
                self.timers.every(
                    SETTINGS_CHECK_SECONDS,
                    self.settings_file.check,
                    name="check settings file",
                )
            await self.stop_requested.wait()
            await self._stop()
            tasks.cancel_scope.cancel()
        self.log.write("stopped", serving=self.caller_server.requests_in_progress)
        self.log.flush()

    def _background_tasks(self) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        return [
            self.log.run,
            self.timers.run,
            self.peers.run,
            self.stages.run,
            self.crashes.run,
            self.versions.run,
            self.follower.run,
            self.registration.run,
            self._serve_readiness,
            self._serve_metrics,
        ]

    async def _serve_readiness(self) -> None:
        address = self.settings.readiness_address
        await serve_pages(address, {READY_TARGET: self.readiness}, self.limit_log)

    async def _serve_metrics(self) -> None:
        address = f"{self.settings.ip}:{METRICS_PORT}"
        pages = {METRICS_TARGET: self._metrics_page}
        await serve_pages(address, pages, self.limit_log)

    def readiness(self) -> Page:
        """Return status 200 if callers may be routed here, and 503 otherwise."""
        serving = self.caller_server.acceptor.listening
        ready = serving and not self.caller_server.draining
        return Page(status=200 if ready and self.directory.complete else 503)

    def _metrics_page(self) -> Page:
        metrics = self.metrics
        routes = self.directory.routes
        metrics.configuration.set(routes.catalog.version if routes else 0)
        metrics.configuration_revision.set(self.directory.configured_at.revision)
        metrics.newest_version.set(self.directory.newest.version)
        metrics.newest_revision.set(self.directory.newest.position.revision)
        metrics.may_refuse.set(int(self.directory.decides))
        metrics.configuration_problems.set(
            len(routes.catalog.problems) if routes else 0
        )
        metrics.unreadable_items.set(self.directory.unreadable_count)
        stores = (self.store, self.registration.store, self.crashes.recorder.store)
        metrics.store_calls.set(sum(client.calls for client in stores))
        metrics.crash_events.set(self.crashes.table.total_events)
        metrics.crash_groups.set(len(self.crashes.table.groups))
        metrics.crash_refusals.set(self.crashes.table.total_refused)
        metrics.watches_cut.set(self.follower.watches_cut)
        metrics.store_bytes.set(sum(client.received_bytes for client in stores))
        metrics.changes_seconds.set(self.peers.changes.seconds)
        metrics.internal_errors.set(self.log.internal_errors)
        metrics.store_age.set(self.follower.store_age)
        metrics.store_era.set(self.directory.era)
        metrics.directory_age.set(self.directory.age)
        metrics.endpoints.set(
            sum(map(len, self.directory.endpoints.by_service.values()))
        )
        metrics.set_evacuated(self.directory.evacuations.counts())
        metrics.daemons.set(len(self.directory.daemons))
        metrics.stage_calls.set(self.stages.calls)
        metrics.stage_pieces.set(self.stages.pieces_called)
        for (code, rank), count in self.scheduler.refusals.items():
            metrics.placement_refusals.labels(code, str(rank)).set(count)
        metrics.prefix_hit_tokens.set(self.scheduler.engines.hit_tokens)
        metrics.prompt_tokens.set(self.scheduler.engines.prompt_tokens)
        limits = self.endpoint_limits
        metrics.endpoint_limits.set(
            sum(limit.rate is not None for limit in limits.table.limits.values())
        )
        metrics.cold_endpoints.set(limits.cold.count())
        metrics.limit_refusals.set(limits.denied)
        metrics.limit_requests.set(limits.asked)
        loads = self.endpoint_states.loads
        metrics.load_samples.set(loads.count())
        metrics.load_sample_age.set(loads.median_age(anyio.current_time()))
        metrics.load_spread.set(loads.spread())
        metrics.unreadable_loads.set(loads.unreadable)
        metrics.version_requests.set(self.versions.asked)
        metrics.cut_off.set(self.paths.cut_off)
        metrics.tunnels_opened.set(self.paths.tunnels.opened)
        metrics.tunnels_served.set(self.tunnels.served)
        metrics.resumptions_refused.set(self.versions.refused)
        metrics.log_lines_dropped.set(self.log.dropped)
        return Page(status=200, body=metrics.render())

    async def _handle_signals(
        self, settings_file: SettingsFile, signals: AsyncIterator[signal.Signals]
    ) -> None:
        async for number in signals:
            if number == signal.SIGTERM:
                self.stop_requested.set()
            else:
                settings_file.reload()

    def _apply_settings(self, settings: GatewaySettings) -> None:
        """Apply the settings that may change while the process runs."""
        self.settings = settings
        self.peers.seed_ips = settings.seed_ips
        self.directory.configuration_delay = settings.configuration_delay
        self.follower.reads_per_second = settings.store.reads_per_second
        self.follower.heartbeat = settings.heartbeat
        stores = (self.store, self.registration.store, self.crashes.recorder.store)
        for client in stores:
            client.use(settings.store.address)
        self.context.set_retry_bounds(
            ratio=settings.retry_ratio,
            window=settings.retry_window,
            slack=settings.retry_slack,
        )
        self.stage_retry_budgets.clear()
        self.endpoint_limits.cold.bounds = ColdBounds.of(
            settings.cold_overage, settings.cold_tolerance
        )

    async def _check_for_stall(self) -> None:
        """After a stall, close idle endpoint connections and read the store at once.

        What was known before the stall may be outdated.
        """
        stalled = self.stall_detector.check()
        if not stalled:
            return
        self.log.write("stood_still", seconds=round(stalled, 3))
        await self.context.connections.close_all()
        self.follower.read_now()

    async def _stop(self) -> None:
        """Drain: serve on, but close each connection after its answer."""
        started = anyio.current_time()
        self.caller_server.start_draining()
        self.log.write("stopping", serving=self.caller_server.requests_in_progress)
        self.tasks.start_soon(run_logged, self.log, self.registration.withdraw)
        self.versions.hand_over()
        drain_deadline = started + self.settings.grace - SHUTDOWN_MARGIN_SECONDS
        self.handler.accepts_all_until = started + ACCEPT_ALL_SECONDS
        self.handler.serves_until = drain_deadline
        await anyio.sleep(
            min(ROTATION_REMOVAL_SECONDS, max(0.0, drain_deadline - started))
        )
        while anyio.current_time() < drain_deadline:
            in_progress = self.scheduler.chains or self.tunnels.open
            if self.caller_server.is_idle() and not in_progress:
                break
            self.caller_server.close_idle()
            await anyio.sleep(DRAIN_CHECK_SECONDS)
        await self.caller_server.finish(drain_deadline)

    def _on_configuration(self, catalog: Catalog) -> None:
        if catalog.problems:
            self.log.write(
                "configuration_incomplete",
                failure=True,
                version=catalog.version,
                incomplete=sorted(part.value for part in catalog.incomplete),
                problems=catalog.problems[:MAX_LOGGED_PROBLEMS],
                count=len(catalog.problems),
            )
        self.scheduler_client.groups = service_groups(catalog)
        self.versions_recorder.streaming = frozenset(
            service
            for route in catalog.routes
            if route.repeatability is Repeatability.STREAM and route.may_repeat
            for service, _ in route.targets
        )

    def _on_endpoint_change(self, instance: str, endpoint: Endpoint | None) -> None:
        self.crashes.on_endpoint_change(instance, endpoint)
        self.endpoint_limits.on_endpoint_change(instance, endpoint)
        self.versions.on_endpoint_change(instance, endpoint)
        if endpoint is None:
            self.context.health.forget(instance)
            self.endpoint_states.pauses.forget(instance)
            self.endpoint_states.loads.forget(instance)
            self.slots.pools.forget(instance)
            self.scheduler.remove_endpoint(instance)
            self.tasks.start_soon(
                run_logged, self.log, self.context.connections.forget, instance
            )
        elif not endpoint.leaving:
            self.stages.dispatch(endpoint.service)

    async def _read_lifetime(self, endpoint: Endpoint) -> int | None:
        """Return the lifetime that an engine states; other endpoints state none."""
        routes = self.directory.routes
        service = routes and routes.catalog.services.get(endpoint.service)
        if not service or service.engine is None:
            return None
        return await read_lifetime(self.paths.connect_directly, endpoint)

    def _stage_retry_budget(self, service: str) -> FleetRetryBudget:
        """Return the retry budget for stage calls to a service.

        Only the owner of the service, the daemon that schedules its stage calls, spends
        it, so it is not divided among the daemons. A new owner has a part of a window's
        retries at once: what the owner before has spent is not known.
        """
        budget = self.stage_retry_budgets.get(service)
        if budget is None:
            budget = self.stage_retry_budgets[service] = FleetRetryBudget(
                ratio=0.0,
                window=self.settings.retry_window,
                slack=self.settings.retry_slack,
                allowance=NEW_OWNER_RETRY_SHARE * self.settings.retry_slack,
                refilled_at=anyio.current_time(),
            )
        return budget

    async def _answer_peer(self, link: Link, content: Content) -> Content:
        try:
            return await self._dispatch_peer_request(link, content)
        except Exception as error:
            # An error in one request must not end the requests of other daemons.
            log_internal_error(self.log, error, where="request of a peer daemon")
            return Unknown()

    async def _dispatch_peer_request(self, link: Link, content: Content) -> Content:
        if isinstance(content, ChangesRequest | PartRequest):
            return answer_changes(self.directory, content)
        if isinstance(content, PlacementRequest) and self.directory.complete:
            attempt_ids = self.attempts_by_link.setdefault(link, set())
            attempt_ids.add(content.attempt_id)
            self.endpoint_limits.owners.record_contact(_host(link))
            answer = await self.scheduler.place(content)
            self._forget_ended(link, content.attempt_id)
            return answer
        if isinstance(content, SlotRequest):
            self.slot_owners.record_contact()
            return self.slots.handle_request(content)
        if isinstance(content, TokenRequest):
            return await self.endpoint_limits.handle_request(content, _host(link))
        if isinstance(content, VersionRequest):
            return self.versions.answer(content)
        return Unknown()

    def _handle_peer_notification(self, link: Link, content: Content) -> None:
        if isinstance(content, Progress):
            self.scheduler.record_progress(content)
            self._forget_ended(link, content.attempt_id)
        elif isinstance(content, CrashReport | KeysCleared | GroupCondemned):
            self.crashes.handle(content)
        elif isinstance(content, LimitReport):
            endpoint = self.directory.endpoints.known.get(content.instance)
            service = None if endpoint is None else endpoint.service
            self.endpoint_limits.handle_report(content, service)
        elif isinstance(content, StreamVersions):
            self.versions.handle(content)
        elif isinstance(content, EndpointLeaving):
            self.leaving.handle(content)
        elif isinstance(content, EndpointPaused):
            self.endpoint_states.handle_pause(content)
        elif isinstance(content, ServiceFragile):
            self.slots.fragile.handle(content)
        elif isinstance(content, SlotRelease):
            self.slots.handle_release(content)

    def _forget_ended(self, link: Link, attempt_id: str) -> None:
        # A refused placement or the end of a run may leave another run.
        if not self.scheduler.has_request(attempt_id):
            self.attempts_by_link.get(link, set()).discard(attempt_id)

    def _on_link_lost(self, link: Link) -> None:
        self.scheduler.cancel_all(sorted(self.attempts_by_link.pop(link, ())))


def _host(link: Link) -> str:
    """Return the host of a link's peer, whoever has opened the link."""
    return link.peer.rpartition(":")[0] or link.peer
