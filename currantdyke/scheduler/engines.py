"""Choice of a request's model engine by load, cached prompt prefixes and speed."""

import collections
import math
from collections.abc import Collection

import attrs
import xxhash

from currantdyke.catalog import Endpoint, EngineLimits
from currantdyke.platform.requests import PromptPart
from currantdyke.scheduler.messages import PlacementRequest, ProgressKind

__all__ = ["EngineTable"]

# Assumed prefill speed, which the observed slowness of an engine corrects.
DEFAULT_PREFILL_TOKENS_PER_SECOND = 45_000.0
# Time to the first event besides the prefill: a decoding step and the round trip.
BASE_START_SECONDS = 0.03
# Time that each running request adds to a start: it lengthens decoding steps, and a
# few of them pass before the first event.
SECONDS_PER_RUNNING_REQUEST = 0.0004
SLOWNESS_SMOOTHING_FACTOR = 0.2
SLOWNESS_HALF_LIFE_SECONDS = 5.0
# Share of an engine's memory in which recorded prompt parts are expected to stay
# cached; beyond it, the engine evicts parts before they are requested again.
USABLE_CACHE_SHARE = 0.7
# A lost engine is avoided with exponential backoff.
INITIAL_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 4.0
FULL_AVOID_SECONDS = 0.2
# Added for an engine without memory or a slot for the request: as long as the prefill
# of a long prompt.
OVERLOAD_PENALTY_SECONDS = 1.0
OTHER_ZONE_PENALTY_SECONDS = 0.002
# Waiting time that costs as much as moving a megabyte to another zone, and as reading
# 1,000 tokens of a shared prompt part again. By the users' prices, one second of
# waiting costs a streaming request about as much as 40 MB or 16,000 tokens.
SECONDS_PER_CROSS_ZONE_MB = 0.025
SECONDS_PER_1000_REREAD_TOKENS = 0.06
# Added if the first event is expected after the target.
LATE_PENALTY_SECONDS = 1.5
BYTES_PER_MB = 1_000_000
# A request without a report of its end is removed this long after its deadline.
EXPIRY_MARGIN_SECONDS = 1.0


@attrs.define(kw_only=True, eq=False)
class PlacedRequest:
    """A request that was placed at an engine.

    Attributes
    ----------
    placed_at, expires_at : float
        Monotonic times in seconds; an expired request is removed.
    uncached_tokens : int
        Prompt tokens that the engine has to prefill.
    memory_tokens : int
        Tokens of engine memory that the request occupies at its end.
    expected_start_seconds : float
        Expected time from the placement to the first event.
    started : bool
        Whether the first event was reported.
    """

    request: PlacementRequest
    instance: str
    placed_at: float
    expires_at: float
    uncached_tokens: int
    memory_tokens: int
    expected_start_seconds: float
    started: bool = False


@attrs.define(kw_only=True, eq=False)
class Engine:
    """State of one engine.

    Attributes
    ----------
    placed : dict of str to PlacedRequest
        Requests at the engine, by attempt id.
    cached_parts : OrderedDict of bytes to int
        Tokens of the prompt parts that it has read, by the digest of the part and all
        parts before it, the least recently used first.
    cached_part_tokens : int
        Sum of these tokens.
    slowness : float
        Moving average of the ratio of actual to expected time to the first event.
    avoid_until : float
        Monotonic time in seconds before which other engines are preferred.
    backoff_seconds : float
        For how long the engine is avoided if it is lost again.
    """

    endpoint: Endpoint
    placed: dict[str, PlacedRequest] = attrs.field(factory=dict)
    cached_parts: collections.OrderedDict[bytes, int] = attrs.field(
        factory=collections.OrderedDict
    )
    cached_part_tokens: int = 0
    slowness: float = 1.0
    slowness_at: float = 0.0
    avoid_until: float = 0.0
    backoff_seconds: float = INITIAL_BACKOFF_SECONDS

    def cached_tokens(self, digests: list[bytes]) -> int:
        """Return the number of tokens in the longest cached prefix of the parts."""
        tokens = 0
        for digest in digests:
            size = self.cached_parts.get(digest)
            if size is None:
                break
            tokens += size
        return tokens

    def record_parts(
        self, digests: list[bytes], parts: tuple[PromptPart, ...], capacity: int
    ) -> None:
        """Record that the engine reads these parts.

        Parameters
        ----------
        capacity : int
            Tokens of parts that are kept; the least recently used are dropped first.
        """
        for digest, part in zip(digests, parts, strict=True):
            if digest not in self.cached_parts:
                self.cached_part_tokens += part.tokens
            self.cached_parts[digest] = part.tokens
            self.cached_parts.move_to_end(digest)
        while self.cached_part_tokens > capacity and self.cached_parts:
            _, tokens = self.cached_parts.popitem(last=False)
            self.cached_part_tokens -= tokens

    def expected_slowness(self, now: float) -> float:
        """Return the expected slowness of the next start."""
        age = max(0.0, now - self.slowness_at)
        return 1.0 + (self.slowness - 1.0) * 0.5 ** (age / SLOWNESS_HALF_LIFE_SECONDS)

    def expected_start(self, uncached: int, now: float) -> float:
        """Return the expected seconds to the first event of another request.

        Parameters
        ----------
        uncached : int
            Prompt tokens of the request that are not cached.
        """
        waiting = sum(p.uncached_tokens for p in self.placed.values() if not p.started)
        running = len(self.placed)
        seconds = (
            BASE_START_SECONDS
            + (waiting + uncached) / DEFAULT_PREFILL_TOKENS_PER_SECOND
            + running * SECONDS_PER_RUNNING_REQUEST
        )
        return seconds * max(0.5, self.expected_slowness(now))


@attrs.define(kw_only=True, eq=False)
class EngineTable:
    """The engines of all services, and the requests placed at them.

    Attributes
    ----------
    engines : dict of str to Engine
        Engines by instance.
    requests : dict of str to PlacedRequest
        Placed requests by attempt id, each at the engine that it was placed at last.
    earlier : dict of str to list of PlacedRequest
        Placements before that one whose runs have not ended; they are not counted.
    hit_tokens, prompt_tokens : int
        Prompt tokens that were expected to be cached, and all prompt tokens, of the
        requests placed so far.
    """

    engines: dict[str, Engine] = attrs.field(factory=dict)
    requests: dict[str, PlacedRequest] = attrs.field(factory=dict)
    earlier: dict[str, list[PlacedRequest]] = attrs.field(factory=dict)
    hit_tokens: int = 0
    prompt_tokens: int = 0

    def choose(
        self,
        request: PlacementRequest,
        endpoints: dict[str, Endpoint],
        limits: EngineLimits | None,
        now: float,
        *,
        results_zone: str = "",
        results_bytes: int = 0,
        time_left: float = math.inf,
        held: Collection[str] = (),
    ) -> Engine | None:
        """Return the engine with the lowest cost of a request; avoided ones come last.

        The cost is the expected waiting time and the work, in seconds of waiting.

        Parameters
        ----------
        results_zone : str
            The availability zone that holds the results that the engine fetches.
        results_bytes : int
            Size of these results.
        time_left : float
            Seconds until the first event is due.
        held : collection of str
            Instances that may not get the request now.

        Returns
        -------
        Engine or None
            None if there are no endpoints, if all of several are excluded, or if all
            others are held.
        """
        self._drop_expired(now)
        digests = prefix_digests(request)
        lowest: tuple | None = None
        for endpoint in endpoints.values():
            if endpoint.instance in held:
                continue
            if endpoint.instance in request.excluded and len(endpoints) > 1:
                continue
            engine = self._engine(endpoint)
            avoided, seconds = self._cost(engine, request, digests, limits, now)
            if seconds > time_left:
                seconds += LATE_PENALTY_SECONDS
            if results_zone and endpoint.availability_zone != results_zone:
                seconds += results_bytes / BYTES_PER_MB * SECONDS_PER_CROSS_ZONE_MB
            if lowest is None or (avoided, seconds) < lowest[0]:
                lowest = ((avoided, seconds), engine)
        return None if lowest is None else lowest[1]

    def record_progress(self, attempt_id: str, kind: ProgressKind, now: float) -> None:
        """Record the progress of a placed request."""
        placed = self.requests.get(attempt_id)
        if placed is None:
            return
        engine = self.engines.get(placed.instance)
        if kind is ProgressKind.STARTED:
            if engine is not None and not placed.started:
                self._record_start(engine, placed, now)
            placed.started = True
            return
        del self.requests[attempt_id]
        self.earlier.pop(attempt_id, None)
        if engine is None:
            return
        engine.placed.pop(attempt_id, None)
        if kind is ProgressKind.ENGINE_LOST:
            engine.avoid_until = now + engine.backoff_seconds
            engine.backoff_seconds = min(
                MAX_BACKOFF_SECONDS, 2 * engine.backoff_seconds
            )
        elif kind is ProgressKind.ENGINE_FULL:
            engine.avoid_until = max(engine.avoid_until, now + FULL_AVOID_SECONDS)

    def set_aside(self, attempt_id: str, now: float) -> None:
        """Keep a request's placement uncounted, since another one replaces it."""
        placed = self.requests.get(attempt_id)
        if placed is not None:
            earlier = self.earlier.get(attempt_id, [])
            self.record_progress(attempt_id, ProgressKind.ENGINE_LOST, now)
            self.earlier[attempt_id] = [*earlier, placed]

    def record_run(
        self, attempt_id: str, instance: str, kind: ProgressKind, now: float
    ) -> None:
        """Record the progress of one of the runs of a request.

        A run that has started is the only one left. If the latest run ends, the request
        counts at the engine of the one before.
        """
        latest = self.requests.get(attempt_id)
        earlier = self.earlier.get(attempt_id, [])
        others = [placed for placed in earlier if placed.instance != instance]
        if latest is not None and latest.instance == instance:
            self.record_progress(attempt_id, kind, now)
            if kind is not ProgressKind.STARTED and others:
                self._count(attempt_id, others.pop())
        elif kind is ProgressKind.STARTED:
            self.record_progress(attempt_id, ProgressKind.CANCELLED, now)
            for placed in earlier:
                if placed.instance == instance:
                    self._count(attempt_id, placed)
            self.record_progress(attempt_id, kind, now)
        self.earlier.pop(attempt_id, None)
        if kind is not ProgressKind.STARTED and others:
            self.earlier[attempt_id] = others

    def _count(self, attempt_id: str, placed: PlacedRequest) -> None:
        self.requests[attempt_id] = placed
        engine = self.engines.get(placed.instance)
        if engine is not None:
            engine.placed[attempt_id] = placed

    def _record_start(self, engine: Engine, placed: PlacedRequest, now: float) -> None:
        ratio = (now - placed.placed_at) / max(placed.expected_start_seconds, 1e-3)
        previous = engine.expected_slowness(now)
        engine.slowness = previous + SLOWNESS_SMOOTHING_FACTOR * (
            min(ratio, 10.0) - previous
        )
        engine.slowness_at = now
        engine.backoff_seconds = INITIAL_BACKOFF_SECONDS

    def _engine(self, endpoint: Endpoint) -> Engine:
        engine = self.engines.get(endpoint.instance)
        if engine is None or engine.endpoint.born != endpoint.born:
            engine = self.engines[endpoint.instance] = Engine(endpoint=endpoint)
        engine.endpoint = endpoint
        return engine

    def _cost(
        self,
        engine: Engine,
        request: PlacementRequest,
        digests: list[bytes],
        limits: EngineLimits | None,
        now: float,
    ) -> tuple[bool, float]:
        """Return whether an engine is avoided, and the cost of the request in seconds.

        The costs of a late start and of moving results are not included.
        """
        cached = engine.cached_tokens(digests)
        uncached = max(0, request.prompt_tokens - cached)
        seconds = engine.expected_start(uncached, now)
        seconds += (
            _uncached_shared_tokens(request, cached)
            / 1_000
            * SECONDS_PER_1000_REREAD_TOKENS
        )
        if limits is not None and self._would_overload(engine, request, limits):
            seconds += OVERLOAD_PENALTY_SECONDS
        if engine.endpoint.availability_zone != request.availability_zone:
            seconds += OTHER_ZONE_PENALTY_SECONDS
        # A hash of the shared prefix and the instance adds up to BASE_START_SECONDS or
        # half of the cost of rereading, whichever is larger, so that a new owner
        # chooses the same engine as the previous one if the other costs are similar.
        shared = digests[-2] if len(digests) > 1 else b"".join(digests)
        key = xxhash.xxh64_intdigest(shared + engine.endpoint.instance.encode())
        reread_seconds = (
            _uncached_shared_tokens(request, cached)
            / 1_000
            * SECONDS_PER_1000_REREAD_TOKENS
        )
        affinity_seconds = key / 2**64 * max(BASE_START_SECONDS, reread_seconds / 2)
        return engine.avoid_until > now, seconds + affinity_seconds

    def _would_overload(
        self, engine: Engine, request: PlacementRequest, limits: EngineLimits
    ) -> bool:
        tokens = sum(placed.memory_tokens for placed in engine.placed.values())
        tokens += request.prompt_tokens + request.output_tokens
        return tokens > limits.cache_tokens or len(engine.placed) >= limits.slots

    def record_placement(
        self,
        engine: Engine,
        request: PlacementRequest,
        limits: EngineLimits | None,
        now: float,
    ) -> PlacedRequest:
        """Record that a request is sent to an engine."""
        digests = prefix_digests(request)
        cached = engine.cached_tokens(digests)
        uncached = max(0, request.prompt_tokens - cached)
        placed = PlacedRequest(
            request=request,
            instance=engine.endpoint.instance,
            placed_at=now,
            expires_at=now + request.deadline + EXPIRY_MARGIN_SECONDS,
            uncached_tokens=uncached,
            memory_tokens=request.prompt_tokens + request.output_tokens,
            expected_start_seconds=engine.expected_start(uncached, now),
        )
        self.hit_tokens += min(cached, request.prompt_tokens)
        self.prompt_tokens += request.prompt_tokens
        self.requests[request.attempt_id] = placed
        engine.placed[request.attempt_id] = placed
        capacity = int(USABLE_CACHE_SHARE * limits.cache_tokens) if limits else 0
        engine.record_parts(digests, request.parts, capacity)
        return placed

    def _drop_expired(self, now: float) -> None:
        expired = [key for key, p in self.requests.items() if p.expires_at < now]
        for attempt_id in expired:
            placed = self.requests.pop(attempt_id)
            self.earlier.pop(attempt_id, None)
            engine = self.engines.get(placed.instance)
            if engine is not None:
                engine.placed.pop(attempt_id, None)


def _uncached_shared_tokens(request: PlacementRequest, cached: int) -> int:
    """Return the tokens of shared prompt parts that would be read again.

    The last part is the request's own, unless it is the only one.
    """
    shared = request.parts[:-1] or request.parts
    return max(0, sum(part.tokens for part in shared) - cached)


def prefix_digests(request: PlacementRequest) -> list[bytes]:
    """Return a digest of each prefix of the prompt parts, the shortest first."""
    digests = []
    state = xxhash.xxh64()
    for part in request.parts:
        state.update(part.part_id)
        digests.append(state.digest())
    return digests
