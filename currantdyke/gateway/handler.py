"""Serve one request of a caller: validate it, forward it, log the outcome."""

import math
import random

import anyio
import attrs
import h11

from currantdyke.catalog import Repeatability, Route, RouteTable, max_event_gap
from currantdyke.core import Failure, FailureKind, Outcome
from currantdyke.crashes import request_keys
from currantdyke.decisionlog import DecisionLog, log_internal_error
from currantdyke.directory import Directory
from currantdyke.forward.context import ForwardContext
from currantdyke.forward.exchange import Exchange, RequestFailedError
from currantdyke.forward.plain import forward_plain
from currantdyke.forward.quarantine import admit
from currantdyke.forward.stream import StreamBrokenError, forward_stream
from currantdyke.gateway.caller import CallerConnection, CallerDisconnectedError
from currantdyke.gateway.denials import deny, refuse_for_now
from currantdyke.gateway.metrics import GatewayMetrics
from currantdyke.http1 import BadRequestError
from currantdyke.platform.answers import encode_failure_response
from currantdyke.platform.requests import RequestMetadata, decode_request_metadata
from currantdyke.scheduler.client import SchedulerClient

__all__ = ["RequestHandler"]

# Final answers are sent this long before the deadline, to cover the network and
# scheduling delay.
ANSWER_MARGIN_SECONDS = 0.03
# Applies to a request that has no deadline of its own, on a route without a time-out.
DEFAULT_DEADLINE_SECONDS = 30.0
# Decimal places of durations in log lines.
LOG_DECIMALS = 3


@attrs.define(kw_only=True, eq=False)
class ServedRequest:
    """A request from its arrival to its end.

    Attributes
    ----------
    started_at : float
        Monotonic time in seconds.
    facts, exchange
        None until the request is decoded and validated.
    outcome : str
        How the request ended, for the log.
    unanswered_reason : str
        Why there is no whole answer, unless the caller has one or has left.
    """

    request: h11.Request
    started_at: float
    facts: RequestMetadata | None = None
    exchange: Exchange | None = None
    outcome: str = "cancelled"
    unanswered_reason: str = "internal_error"

    def failure(self, kind: FailureKind, detail: str) -> Failure:
        """Return a failure whose outcome states whether the request may have run."""
        if self.exchange is None:
            return refuse_for_now(kind, detail)
        return self.exchange.failure(kind, detail).failure


@attrs.define(kw_only=True, eq=False)
class RequestHandler:
    """Validates requests, forwards them and answers the callers.

    Attributes
    ----------
    accepts_all_until : float
        Monotonic time in seconds after which a request is refused unless its deadline
        is before ``serves_until``.
    serves_until : float
        Monotonic time in seconds at which requests in progress are ended.
    """

    directory: Directory
    context: ForwardContext
    scheduler: SchedulerClient
    log: DecisionLog
    metrics: GatewayMetrics
    random_source: random.Random = attrs.field(factory=random.Random)
    accepts_all_until: float = math.inf
    serves_until: float = math.inf

    async def handle(
        self, request: h11.Request, body: bytes, caller: CallerConnection
    ) -> None:
        """Answer a request; if the answer can't be finished, the connection closes.

        Whatever ends the handling, a caller that waits gets an answer here, unless its
        answer has begun.
        """
        served = ServedRequest(request=request, started_at=anyio.current_time())
        try:
            await self._serve(served, body, caller)
        except Exception as error:
            log_internal_error(self.log, error, where="request of a caller")
            served.outcome = FailureKind.INTERNAL.code
            failure = served.failure(FailureKind.INTERNAL, "an internal error occurred")
            await self._answer_failure(served, caller, failure)
        except anyio.get_cancelled_exc_class():
            served.unanswered_reason = "cancelled"
            if not caller.has_left:
                # The process ends. The write of the answer is shielded.
                served.outcome = FailureKind.SHUTTING_DOWN.code
                failure = served.failure(FailureKind.SHUTTING_DOWN, "the daemon stops")
                await self._answer_failure(served, caller, failure)
            raise
        finally:
            self._record_end(served, caller)

    async def _serve(
        self, served: ServedRequest, body: bytes, caller: CallerConnection
    ) -> None:
        """Forward a request and relay its answer, or answer with a failure."""
        try:
            try:
                served.facts = decode_request_metadata(served.request)
                served.exchange = self._open_exchange(served, body, caller)
                self._check_ends_in_time(served.exchange)
                caller.deadline_at = served.exchange.deadline_at
                await self._forward(served.exchange)
                served.outcome = "answered"
            except BadRequestError as error:
                raise RequestFailedError(_malformed_failure(str(error))) from error
        except RequestFailedError as error:
            served.outcome = error.failure.kind.code
            await self._answer_failure(served, caller, error.failure)
        except StreamBrokenError as error:
            served.outcome = f"broken off: {error}"
            served.unanswered_reason = "broken_off"
            failure = served.failure(FailureKind.STAGE_FAILED, str(error))
            await self._answer_failure(served, caller, failure)
        except CallerDisconnectedError:
            served.outcome = "caller left"
            served.unanswered_reason = "write_time_out"
            caller.must_close = True

    def _open_exchange(
        self, served: ServedRequest, body: bytes, caller: CallerConnection
    ) -> Exchange:
        """Validate a request against the configuration in force."""
        request, facts, now = served.request, served.facts, served.started_at
        assert facts is not None
        routes = self.directory.routes
        if routes is None or not self.directory.listed:
            raise RequestFailedError(
                refuse_for_now(
                    FailureKind.NOT_READY,
                    "no configuration or no list of endpoints is known yet",
                )
            )
        if not facts.attempt_id:
            raise BadRequestError("the request names no attempt")
        route = self._find_route(request, routes)
        workspace = routes.workspace_by_key.get(facts.key) if facts.key else None
        needs_key = routes.catalog.workspaces is not None and not route.public
        if needs_key and workspace is None:
            raise RequestFailedError(self._deny_key(route))
        if route.problem is not None:
            raise RequestFailedError(
                refuse_for_now(
                    FailureKind.INCOMPLETE_CONFIGURATION,
                    f"the route can't be served: {route.problem}",
                )
            )
        rank = route.rank
        if workspace is not None and workspace.rank is not None:
            rank = workspace.rank
        limits = (facts.deadline, route.timeout)
        known_limits = [limit for limit in limits if limit is not None]
        deadline = min(known_limits, default=DEFAULT_DEADLINE_SECONDS)
        service = self._choose_service(route)
        return Exchange(
            request=request,
            body=body,
            facts=facts,
            route=route,
            service=service,
            workspace=None if workspace is None else workspace.name,
            rank=rank,
            crash_keys=request_keys(
                target=request.target,
                key=facts.key,
                body=body,
                parts=(part.part_id for part in facts.prompt_parts),
            ),
            configuration=routes.catalog.version,
            caller=caller,
            arrived_at=now,
            target_at=now + route.target_latency,
            deadline_at=now + deadline - ANSWER_MARGIN_SECONDS,
            caller_timeout_at=now + max_event_gap(route),
            sheddable=rank > routes.lowest_rank_by_service.get(service, rank),
        )

    def _check_ends_in_time(self, exchange: Exchange) -> None:
        """Refuse a request that a stopping daemon may have to cut."""
        if (
            exchange.arrived_at > self.accepts_all_until
            and exchange.deadline_at > self.serves_until
        ):
            raise RequestFailedError(
                refuse_for_now(
                    FailureKind.SHUTTING_DOWN, "the daemon stops before its deadline"
                )
            )

    def _find_route(self, request: h11.Request, routes: RouteTable) -> Route:
        host = next(value for key, value in request.headers if key == b"host")
        path = request.target.partition(b"?")[0]
        route = routes.find(host.decode("latin-1"), path.decode("latin-1"))
        if route is None:
            detail = f"configuration {routes.catalog.version} has no such route"
            raise RequestFailedError(deny(self.directory, FailureKind.NO_ROUTE, detail))
        return route

    def _deny_key(self, route: Route) -> Failure:
        """Return the failure of a request without a known key."""
        if route.public is None:
            return refuse_for_now(
                FailureKind.INCOMPLETE_CONFIGURATION,
                "the key is not known, nor whether the route needs one",
            )
        return deny(self.directory, FailureKind.UNAUTHORIZED, "the key is not known")

    def _choose_service(self, route: Route) -> str:
        services = [service for service, _ in route.targets]
        if len(services) == 1:
            return services[0]
        weights = [weight for _, weight in route.targets]
        return self.random_source.choices(services, weights)[0]

    async def _forward(self, exchange: Exchange) -> None:
        with anyio.CancelScope() as scope:
            scope.deadline = exchange.deadline_at
            await admit(exchange, self.context)
            if exchange.route.repeatability is Repeatability.STREAM:
                await forward_stream(exchange, self.context, self.scheduler)
            else:
                await forward_plain(exchange, self.context)
        if not scope.cancelled_caught:
            return
        if exchange.caller.response_started:
            raise StreamBrokenError("the deadline passed")
        raise exchange.failure(
            FailureKind.DEADLINE_PASSED,
            "the deadline passed before there was an answer",
        )

    async def _answer_failure(
        self, served: ServedRequest, caller: CallerConnection, failure: Failure
    ) -> None:
        """Answer with a failure, or close the connection if the answer has begun."""
        if caller.response_started:
            caller.must_close = True
            return
        attempt_id = served.facts.attempt_id if served.facts else None
        status, headers, body = encode_failure_response(failure, attempt_id)
        self.metrics.refusals.labels(failure.kind.code, str(status)).inc()
        try:
            await caller.answer(status, headers, body)
        except CallerDisconnectedError:
            served.unanswered_reason = "write_time_out"
            caller.must_close = True

    def _record_end(self, served: ServedRequest, caller: CallerConnection) -> None:
        """Log and count the end of a request; a failure here does not affect it."""
        for record in (
            lambda: self._record_unanswered(served, caller),
            lambda: self._log_outcome(served),
        ):
            try:
                record()
            except Exception as error:
                log_internal_error(self.log, error, where="record of a request")

    def _record_unanswered(
        self, served: ServedRequest, caller: CallerConnection
    ) -> None:
        """Log a request that ends without a whole answer for a caller that waits."""
        if caller.answered or caller.has_left:
            return
        reason = served.unanswered_reason
        self.metrics.unanswered.labels(reason).inc()
        self.log.write(
            "request_unanswered",
            failure=True,
            request=served.facts.attempt_id if served.facts else None,
            reason=reason,
            answer_started=caller.response_started,
        )

    def _log_outcome(self, served: ServedRequest) -> None:
        facts, exchange = served.facts, served.exchange
        seconds = anyio.current_time() - served.started_at
        fields: dict = {
            "request": facts.attempt_id if facts else None,
            "outcome": served.outcome,
            "seconds": round(seconds, LOG_DECIMALS),
            "directory_age": round(self.directory.age, LOG_DECIMALS),
        }
        if exchange is not None:
            fields |= _exchange_fields(exchange)
            self.metrics.record_request(exchange, served.outcome, seconds)
        else:
            fields["target"] = served.request.target[:100].decode("latin-1")
            fields |= _directory_fields(self.directory)
        self.log.write("request_ended", failure=served.outcome != "answered", **fields)


def _exchange_fields(exchange: Exchange) -> dict:
    """Return what the line of an ended request tells of its exchange."""
    first = exchange.first_event_at
    return {
        "route": exchange.route.name,
        "service": exchange.service,
        "configuration": exchange.configuration,
        "deadline": exchange.facts.deadline,
        "first_event": first and round(first - exchange.arrived_at, LOG_DECIMALS),
        "attempts": [
            (
                attempt.endpoint,
                attempt.outcome,
                round(attempt.seconds, LOG_DECIMALS),
            )
            for attempt in exchange.attempts
        ],
    }


def _directory_fields(directory: Directory) -> dict:
    """Return by what a request was refused: the configuration, and what is known."""
    routes, position = directory.routes, directory.replica.position
    configured_at = directory.configured_at
    return {
        "configuration": routes and routes.catalog.version,
        "configured_at": (configured_at.era, configured_at.revision),
        "position": (position.era, position.revision),
        "current_by": directory.current_by,
    }


def _malformed_failure(detail: str) -> Failure:
    return Failure(kind=FailureKind.MALFORMED, detail=detail, outcome=Outcome.NOT_RUN)
