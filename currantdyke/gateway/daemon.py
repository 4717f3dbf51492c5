"""One gateway process: its parts, how it starts and how it stops."""

import functools
import os
import signal
import uuid
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
import anyio.abc

from currantdyke.catalog import Catalog, Endpoint
from currantdyke.conductor.client import ConductorClient
from currantdyke.conductor.conductor import Conductor
from currantdyke.conductor.groups import service_groups
from currantdyke.conductor.messages import (
    PlacementRequest,
    Progress,
    ProgressKind,
    Refusal,
)
from currantdyke.conductor.stagecall import free_results, run_pieces
from currantdyke.conductor.stages import StageQueues
from currantdyke.decisionlog import DecisionLog, note_fault
from currantdyke.directory import Directory, Follower
from currantdyke.forward.budget import RepeatBudget
from currantdyke.forward.context import ForwardContext
from currantdyke.forward.crashes import CrashTable, CrashWatch
from currantdyke.gateway.clocks import StandstillWatch
from currantdyke.gateway.entrance import Entrance
from currantdyke.gateway.handle import RequestHandler
from currantdyke.gateway.metrics import GatewayMetrics
from currantdyke.gateway.pages import Page, serve_pages
from currantdyke.gateway.registration import Registration
from currantdyke.gateway.reload import SettingsFile
from currantdyke.gateway.settings import GatewaySettings
from currantdyke.links import (
    ChangesAsked,
    Content,
    Crashed,
    Link,
    Peers,
    Unknown,
)
from currantdyke.platform.names import METRICS_PORT, METRICS_TARGET, READY_TARGET
from currantdyke.platform.records import DaemonEntry
from currantdyke.platform.store import StoreClient
from currantdyke.timers import TimerService

__all__ = ["GatewayDaemon"]

# Descriptors for files, links, endpoints and the store; callers get the rest.
OTHER_DESCRIPTORS_SHARE = 0.5
HELD_MEMORY_SHARE = 0.25
# The platform takes a daemon out of rotation after two misses, a second apart.
ROTATION_SECONDS = 3.0
# The process ends this long before it would be killed.
END_MARGIN_SECONDS = 1.0
CHECK_SECONDS = 0.1
STALE_CHECK_SECONDS = 1.0
CLOCK_CHECK_SECONDS = 0.25
SETTINGS_CHECK_SECONDS = 1.0
# Queues are told of this often by the daemon that owns them, while there is work.
QUEUE_LINE_SECONDS = 1.0


class GatewayDaemon:
    """Builds the parts of a process and runs them.

    Parameters
    ----------
    settings : GatewaySettings
        What the platform told this process.
    log : DecisionLog
        Where decisions are written.
    settings_file : SettingsFile or None
        Watched for changes, as are the signals of the process; None in tests, which
        set `stop_asked` themselves.
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
        self.clocks = StandstillWatch(period=CLOCK_CHECK_SECONDS)
        self.log = log
        self.metrics = GatewayMetrics()
        self.directory = Directory(log=log)
        self.own = DaemonEntry(
            name=settings.name,
            ip=settings.ip,
            availability_zone=settings.availability_zone,
            incarnation=uuid.uuid4().hex[:12],
            cores=settings.cores,
        )
        self.peers = Peers(
            own=self.own,
            port=settings.peer_port,
            seed_ips=settings.seed_ips,
            directory=self.directory,
            log=log,
            answer=self._answer_peer,
            notice=self._notice_of_peer,
            on_link_lost=self._link_lost,
        )
        self.store = StoreClient(address=settings.store.address)
        self.follower = Follower(
            directory=self.directory,
            store=self.store,
            log=log,
            reads_per_second=settings.store.reads_per_second,
            ask_peer=self.peers.ask_changes,
            ask_relay=self.peers.ask_relay,
        )
        self.registration = Registration(
            entry=self.own,
            store=StoreClient(address=settings.store.address),
            log=log,
        )
        self.crashes = CrashWatch(
            table=CrashTable(now=anyio.current_time),
            log=log,
            tell_peers=self._tell_crash,
        )
        self.context = ForwardContext(
            crashes=self.crashes,
            directory=self.directory,
            log=log,
            availability_zone=settings.availability_zone,
            retry_ratio=settings.retry_ratio,
            retry_window=settings.retry_window,
            retry_slack=settings.retry_slack,
            count_daemons=self.count_daemons,
        )
        self.stages = StageQueues(
            directory=self.directory,
            run_pieces=functools.partial(run_pieces, self.context.connections),
            free_results=functools.partial(free_results, self.context.connections),
            log=log,
            budget=self._stage_budget,
            count_daemons=lambda: 1,
        )
        self.conductor = Conductor(
            directory=self.directory, stages=self.stages, log=log
        )
        self.client = ConductorClient(
            peers=self.peers,
            local=self.conductor,
            log=log,
            is_leaving=lambda: self.entrance.leaving,
        )
        self.handler = RequestHandler(
            directory=self.directory,
            context=self.context,
            conductor=self.client,
            log=log,
            metrics=self.metrics,
            directory_age=lambda: self.follower.age,
        )
        descriptors = settings.file_descriptors * (1 - OTHER_DESCRIPTORS_SHARE)
        self.entrance = Entrance(
            address=settings.caller_address,
            directory=self.directory,
            handler=self.handler,
            max_connections=int(descriptors),
            max_held_bytes=int(settings.memory_bytes * HELD_MEMORY_SHARE),
        )
        self.timers = TimerService()
        self.stop_asked = anyio.Event()
        # Requests that a peer's link has in place here, so that they end with it.
        self.of_links: dict[Link, set[str]] = {}
        self.stage_budgets: dict[str, RepeatBudget] = {}
        self.directory.on_configuration.append(self._configured)
        self.directory.endpoints.watchers.append(self._endpoint_changed)

    def count_daemons(self) -> int:
        """Return how many daemons share the budgets of the fleet."""
        return max(1, len(self.directory.daemons))

    async def run(self) -> None:
        """Serve until SIGTERM, and then until all is answered."""
        self.log.write(
            "started",
            incarnation=self.own.incarnation,
            process=os.getpid(),
            address=self.settings.caller_address,
            availability_zone=self.settings.availability_zone,
        )
        self.client.started_at = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            for part in self._parts():
                tasks.start_soon(part)
            self.timers.every(
                STALE_CHECK_SECONDS,
                self.context.connections.close_stale,
                name="close stale connections",
            )
            self.timers.every(
                QUEUE_LINE_SECONDS, self.stages.tell_queues, name="tell queues"
            )
            self.timers.every(
                CLOCK_CHECK_SECONDS,
                self._look_at_clocks,
                name="look at clocks",
                jitter=0.0,
            )
            if self.settings_file is not None:
                self.settings_file.apply = self._use_settings
                self.timers.every(
                    SETTINGS_CHECK_SECONDS,
                    self.settings_file.check,
                    name="check settings",
                )
                tasks.start_soon(self._watch_signals, self.settings_file)
            await self.stop_asked.wait()
            await self._stop()
            tasks.cancel_scope.cancel()
        self.log.write("stopped", serving=self.entrance.serving)
        self.log.flush()

    def _parts(self) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        return [
            self.log.run,
            self.timers.run,
            self.peers.run,
            self.stages.run,
            self.crashes.run,
            self.follower.run,
            self.registration.run,
            self.entrance.run,
            self._serve_readiness,
            self._serve_metrics,
        ]

    async def _serve_readiness(self) -> None:
        address = self.settings.readiness_address
        await serve_pages(address, {READY_TARGET: self.readiness})

    async def _serve_metrics(self) -> None:
        address = f"{self.settings.ip}:{METRICS_PORT}"
        await serve_pages(address, {METRICS_TARGET: self._metrics_page})

    def readiness(self) -> Page:
        """Return whether callers may be sent here."""
        ready = self.directory.complete and not self.entrance.leaving
        return Page(status=200) if ready else Page(status=503)

    def _metrics_page(self) -> Page:
        metrics = self.metrics
        routes = self.directory.routes
        metrics.configuration.set(routes.catalog.version if routes else 0)
        metrics.store_calls.set(self.store.calls + self.registration.store.calls)
        metrics.store_age.set(self.follower.age)
        metrics.endpoints.set(
            sum(map(len, self.directory.endpoints.by_service.values()))
        )
        metrics.daemons.set(len(self.directory.daemons))
        metrics.stage_calls.set(self.stages.calls)
        metrics.stage_pieces.set(self.stages.pieces_called)
        metrics.prefix_hit_tokens.set(self.conductor.engines.hit_tokens)
        metrics.prompt_tokens.set(self.conductor.engines.asked_tokens)
        metrics.log_lines_dropped.set(self.log.dropped)
        return Page(status=200, body=metrics.text())

    async def _watch_signals(self, settings_file: SettingsFile) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
            async for number in signals:
                if number == signal.SIGTERM:
                    self.stop_asked.set()
                else:
                    settings_file.reload()

    def _use_settings(self, settings: GatewaySettings) -> None:
        """Take over what may change while the process runs."""
        self.settings = settings
        self.peers.seed_ips = settings.seed_ips
        self.follower.reads_per_second = settings.store.reads_per_second
        for client in (self.store, self.registration.store):
            client.use(settings.store.address)
        self.context.use_retry_bounds(
            ratio=settings.retry_ratio,
            window=settings.retry_window,
            slack=settings.retry_slack,
        )
        self.stage_budgets.clear()

    async def _look_at_clocks(self) -> None:
        """Trust nothing that was known before a standstill."""
        stood = self.clocks.look()
        if not stood:
            return
        self.log.write("stood_still", seconds=round(stood, 3))
        await self.context.connections.close_all()
        self.follower.hurry()

    async def _stop(self) -> None:
        """Go on serving what comes, with each answer its connection's last."""
        started = anyio.current_time()
        self.entrance.leaving = True
        self.log.write("stopping", serving=self.entrance.serving)
        self.tasks.start_soon(self.registration.withdraw)
        end = started + self.settings.grace - END_MARGIN_SECONDS
        await anyio.sleep(min(ROTATION_SECONDS, max(0.0, end - started)))
        while anyio.current_time() < end:
            if self.entrance.is_quiet() and not self.conductor.chains:
                self.entrance.close_idle()
                return
            self.entrance.close_idle()
            await anyio.sleep(CHECK_SECONDS)

    def _configured(self, catalog: Catalog) -> None:
        self.client.groups = service_groups(catalog)

    def _endpoint_changed(self, instance: str, endpoint: Endpoint | None) -> None:
        if endpoint is None:
            self.context.health.forget(instance)
            self.conductor.forget(instance)
            self.tasks.start_soon(self.context.connections.forget, instance)
        elif not endpoint.leaving:
            self.stages.dispatch(endpoint.service)

    def _stage_budget(self, service: str) -> RepeatBudget:
        """Return the budget of repeated stage calls, which the owner has alone."""
        budget = self.stage_budgets.get(service)
        if budget is None:
            budget = self.stage_budgets[service] = RepeatBudget(
                ratio=0.0,
                window=self.settings.retry_window,
                slack=self.settings.retry_slack,
            )
        return budget

    async def _answer_peer(self, link: Link, content: Content) -> Content:
        try:
            return await self._answer_question(link, content)
        except Exception as error:
            # A fault in one question must not end those of other daemons.
            note_fault(self.log, error, where="a question of a daemon")
            return Unknown()

    async def _answer_question(self, link: Link, content: Content) -> Content:
        if isinstance(content, ChangesAsked):
            return self.follower.since(content.revision)
        if isinstance(content, PlacementRequest) and self.directory.complete:
            held = self.of_links.setdefault(link, set())
            held.add(content.attempt_id)
            answer = await self.conductor.place(content)
            if isinstance(answer, Refusal):
                held.discard(content.attempt_id)
            return answer
        return Unknown()

    def _notice_of_peer(self, link: Link, content: Content) -> None:
        if isinstance(content, Progress):
            self.conductor.progressed(content)
            if content.kind is not ProgressKind.STARTED:
                self.of_links.get(link, set()).discard(content.attempt_id)
        elif isinstance(content, Crashed):
            self.crashes.table.note(content.fingerprint, content.endpoint)

    def _tell_crash(self, fingerprint: str, endpoint: str) -> None:
        self.peers.tell_all(Crashed(fingerprint=fingerprint, endpoint=endpoint))

    def _link_lost(self, link: Link) -> None:
        self.conductor.cancel_all(sorted(self.of_links.pop(link, ())))
