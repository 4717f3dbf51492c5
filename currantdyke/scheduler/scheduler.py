"""Placement of requests: run their stages, then choose an engine."""

from collections.abc import Iterable

import anyio
import attrs

from currantdyke.catalog import Endpoint, EngineLimits
from currantdyke.decisionlog import DecisionLog
from currantdyke.directory import Directory
from currantdyke.directory.endpoints import EVACUATED_RETRY_SECONDS
from currantdyke.endpointlimits.client import EndpointLimits
from currantdyke.endpointslots.client import EndpointSlots
from currantdyke.scheduler.admission import AdmissionControl, expected_stage_seconds
from currantdyke.scheduler.chain import Chain
from currantdyke.scheduler.engines import EngineTable
from currantdyke.scheduler.heldslots import HeldSlots
from currantdyke.scheduler.messages import (
    Placement,
    PlacementRequest,
    Progress,
    ProgressKind,
    Refusal,
)
from currantdyke.scheduler.stages import StageQueues
from currantdyke.scheduler.urgency import MAX_RANK
from currantdyke.scheduler.zones import choose_zone

__all__ = ["Scheduler"]

NO_ENGINE_RETRY_SECONDS = 0.5
# If both sizes are reached, a chain's stages run in the zone of its likely engine.
# Moving a megabyte between zones costs about as much as prefilling 400 tokens.
LARGE_RESULTS_BYTES = 1_000_000
LONG_SHARED_PREFIX_TOKENS = 4_000


@attrs.define(kw_only=True, eq=False)
class Scheduler:
    """Schedules the requests of the service groups that this daemon owns.

    Attributes
    ----------
    chains : dict of str to Chain
        Chains whose stages run, or whose results the engine has yet to fetch, by
        attempt id.
    refusals : dict of (str, int) to int
        Number of refusals by code and rank.
    """

    directory: Directory
    stages: StageQueues
    log: DecisionLog
    engines: EngineTable = attrs.field(factory=EngineTable)
    chains: dict[str, Chain] = attrs.field(factory=dict)
    refusals: dict[tuple[str, int], int] = attrs.field(factory=dict)
    admission: AdmissionControl = attrs.field(init=False)
    held_slots: HeldSlots = attrs.field(init=False)

    @property
    def limits(self) -> EndpointLimits:
        """The limits that endpoints name, within which streams are placed."""
        return self.stages.endpoint_limits

    @property
    def slots(self) -> EndpointSlots:
        """The slots of fragile endpoints, within which streams are placed."""
        return self.stages.endpoint_slots

    def __attrs_post_init__(self) -> None:
        """Create the admission control, and the slots of placed requests."""
        self.admission = AdmissionControl(stages=self.stages)
        self.held_slots = HeldSlots(slots=self.slots)

    async def place(self, request: PlacementRequest) -> Placement | Refusal:
        """Run a request's stages and choose its engine.

        A request whose engine is silent is placed at another one with the same results
        of its stages. The earlier placement stays if this is refused.
        """
        started = anyio.current_time()
        held = self._held_chain(request)
        if held is not None:
            answer = self._choose_engine(held, started)
            if isinstance(answer, Refusal):
                self._log_refusal(request, answer)
            return answer
        refusal = self._check_evacuations(request)
        refusal = refusal or self._check_limits(request, started)
        refusal = refusal or self._check_slots(request, started)
        refusal = refusal or self.admission.check(request, started)
        if refusal is not None:
            self._log_refusal(request, refusal)
            return refusal
        chain = Chain.of(request=request, now=started)
        chain.preferred_zone = choose_zone(
            chain, self.stages, self._engine_zone(chain, started)
        )
        self.chains[request.attempt_id] = chain
        placed = False
        try:
            self.stages.start(chain)
            with anyio.move_on_after(request.deadline):
                await chain.ended.wait()
            answer = self._choose_engine(chain, started)
            placed = isinstance(answer, Placement)
        finally:
            if not placed:
                self._remove_chain(request.attempt_id)
        if isinstance(answer, Refusal):
            self._log_refusal(request, answer)
        return answer

    def _engines(self, request: PlacementRequest) -> dict[str, Endpoint]:
        """Return the engines at which a request may run, by instance."""
        engines = self.directory.endpoints.of_service(request.service)
        if request.version is None:
            return engines
        return {
            name: engine
            for name, engine in engines.items()
            if engine.version == request.version
        }

    def record_progress(self, progress: Progress) -> None:
        """Record the progress of a request at its engine."""
        now = anyio.current_time()
        attempt_id, instance = progress.attempt_id, progress.instance
        if progress.kind is not ProgressKind.STARTED:
            self.held_slots.release(
                attempt_id,
                instance,
                rejected=progress.kind is ProgressKind.ENGINE_FULL,
            )
        if instance:
            self.engines.record_run(attempt_id, instance, progress.kind, now)
        else:
            self.engines.record_progress(attempt_id, progress.kind, now)
        # The results can be released: the engine has fetched them, or the attempt has
        # ended.
        if not progress.keeps_results:
            self._remove_chain(attempt_id)

    def has_request(self, attempt_id: str) -> bool:
        """Return whether a request is placed or being placed."""
        return attempt_id in self.engines.requests or attempt_id in self.chains

    def remove_endpoint(self, instance: str) -> None:
        """Remove the state of an endpoint that was removed from the directory."""
        self.stages.workers.pop(instance, None)
        self.engines.engines.pop(instance, None)

    def cancel_all(self, attempt_ids: list[str]) -> None:
        """Cancel requests whose entry daemon has disconnected."""
        for attempt_id in attempt_ids:
            cancelled = Progress(attempt_id=attempt_id, kind=ProgressKind.CANCELLED)
            self.record_progress(cancelled)

    def _held_chain(self, request: PlacementRequest) -> Chain | None:
        """Return a placed request's chain if its engine may not have its results yet.

        It has the limits of the new request.
        """
        chain = self.chains.get(request.attempt_id) if request.is_retry else None
        if chain is None or not chain.ended.is_set() or chain.refusal is not None:
            return None
        if not self.stages.has_final_results(chain):
            # The stages run anew; what is left of the results is of use to no engine.
            self._remove_chain(request.attempt_id)
            return None
        chain.request = request
        return chain

    def _choose_engine(self, chain: Chain, started: float) -> Placement | Refusal:
        request = chain.request
        if not chain.ended.is_set():
            return Refusal(
                code="deadline",
                detail="the stages took until the deadline",
                retry_after=NO_ENGINE_RETRY_SECONDS,
            )
        if chain.refusal is not None:
            return chain.refusal
        now = anyio.current_time()
        limits = self._engine_limits(request.service)
        endpoints = self._engines(request)
        held = self.limits.held(endpoints.values(), sheddable=request.sheddable)
        full = self.slots.full(endpoints.values())
        engine = self.engines.choose(
            request,
            endpoints,
            limits,
            now,
            results_zone=chain.preferred_zone,
            results_bytes=chain.final_bytes(),
            time_left=chain.target_at - now,
            held=held | {endpoint.instance for endpoint in full},
        )
        if engine is None and full:
            return self._slot_refusal(full)
        if engine is None and held:
            return self._limit_refusal(endpoints[name] for name in held)
        if engine is None and (refusal := self._check_evacuations(request)):
            return refusal
        if engine is None:
            return Refusal(
                code="no_engine",
                detail="no engine takes new work",
                retry_after=NO_ENGINE_RETRY_SECONDS,
            )
        # The request is no longer expected at the engine that it was placed at before.
        self.engines.set_aside(request.attempt_id, now)
        placed = self.engines.record_placement(engine, request, limits, now)
        self.log.write(
            "placed",
            request=request.attempt_id,
            endpoint=placed.instance,
            version=engine.endpoint.version,
            stages_seconds=round(now - started, 3),
            uncached_tokens=placed.uncached_tokens,
            expected_start=round(placed.expected_start_seconds, 3),
            directory_era=self.directory.era,
            directory_revision=self.directory.replica.revision,
        )
        has_slot = self.held_slots.take(engine.endpoint, request)
        rate_limit = self.limits.take_as_owner(
            engine.endpoint, sheddable=request.sheddable
        )
        return Placement(
            instance=placed.instance,
            handles=chain.final_handles() if request.steps else None,
            has_slot=has_slot,
            rate_limit=rate_limit,
        )

    def _check_evacuations(self, request: PlacementRequest) -> Refusal | None:
        """Refuse a request for whose engine or stages only evacuated zones are left."""
        table = self.directory.endpoints
        lacks_engine = not self._engines(request) and bool(
            table.withheld_of(request.service)
        )
        if not lacks_engine and not any(
            count and table.has_only_withheld(step.service)
            for step, count in zip(request.steps, request.pieces, strict=True)
        ):
            return None
        return Refusal(
            code="evacuated",
            detail="the zones of all engines or endpoints of a stage are evacuated",
            retry_after=EVACUATED_RETRY_SECONDS,
        )

    def _check_limits(self, request: PlacementRequest, now: float) -> Refusal | None:
        """Refuse a request that no engine could take once its stages have run."""
        endpoints = self._engines(request).values()
        if request.is_retry or not endpoints:
            return None
        if any(self.limits.rate(endpoint) is None for endpoint in endpoints):
            return None
        _, stage_seconds = expected_stage_seconds(request, self.stages, now)
        wait = self.limits.expected_wait(
            endpoints, waiting=self._count_unplaced(request), seconds=stage_seconds
        )
        return self._limit_refusal(endpoints) if wait else None

    def _check_slots(self, request: PlacementRequest, now: float) -> Refusal | None:
        """Refuse a request for which no engine will have a slot after its stages."""
        endpoints = self._engines(request).values()
        if request.is_retry or not self.slots.is_owner(request.service):
            return None
        _, stage_seconds = expected_stage_seconds(request, self.stages, now)
        short = self.slots.is_short(
            endpoints, waiting=self._count_unplaced(request), seconds=stage_seconds
        )
        return self._slot_refusal(endpoints) if endpoints and short else None

    def _count_unplaced(self, request: PlacementRequest) -> int:
        """Return the number of requests for its service that have no engine yet."""
        return sum(
            chain.request.service == request.service
            and attempt_id not in self.engines.requests
            for attempt_id, chain in self.chains.items()
        )

    def _slot_refusal(self, endpoints: Iterable[Endpoint]) -> Refusal:
        return Refusal(
            code="no_slot",
            detail="the slots of the fragile engines are taken",
            retry_after=self.slots.refuse(endpoints),
        )

    def _limit_refusal(self, endpoints: Iterable[Endpoint]) -> Refusal:
        return Refusal(
            code="limited",
            detail="the engines are at the limits that they name",
            retry_after=self.limits.retry_slot(endpoints),
        )

    def _engine_limits(self, service: str) -> EngineLimits | None:
        routes = self.directory.routes
        configured = routes.catalog.services.get(service) if routes else None
        return None if configured is None else configured.engine

    def _engine_zone(self, chain: Chain, now: float) -> str | None:
        """Return the zone of the engine that likely caches the prompt, or None.

        It is determined only for a chain with large results and a long shared prompt
        prefix. Results are usually cheaper to move than such a prefix is to prefill
        again, so the engine that caches it is likely to be chosen in any zone. If the
        stages run in its zone, the results need not be moved.
        """
        request = chain.request
        shared_tokens = sum(part.tokens for part in request.parts[:-1])
        if (
            chain.final_bytes() < LARGE_RESULTS_BYTES
            or shared_tokens < LONG_SHARED_PREFIX_TOKENS
        ):
            return None
        engine = self.engines.choose(
            request,
            self._engines(request),
            self._engine_limits(request.service),
            now,
        )
        return None if engine is None else engine.endpoint.availability_zone

    def _remove_chain(self, attempt_id: str) -> None:
        chain = self.chains.pop(attempt_id, None)
        if chain is not None:
            chain.finish(
                Refusal(code="cancelled", detail="the caller left", retry_after=0.0)
            )
            self.stages.remove_chain(chain)

    def _log_refusal(self, request: PlacementRequest, refusal: Refusal) -> None:
        reason = refusal.code, min(MAX_RANK, request.rank)
        self.refusals[reason] = self.refusals.get(reason, 0) + 1
        self.log.write(
            "placement_refused",
            failure=True,
            request=request.attempt_id,
            code=refusal.code,
            rank=request.rank,
            sheddable=request.sheddable,
            detail=refusal.detail,
            retry_after=round(refusal.retry_after, 3),
        )
