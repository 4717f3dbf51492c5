"""Endpoints that name, change and drop a limit on the requests that they accept."""

import bisect
import collections
import random

import anyio
import attrs

from currantdyke.soak.completeness import CONTACT_SECONDS

__all__ = ["NamedLimit", "allowed_requests", "change_limits", "limit_violations"]

# Bound of the users: in any 4 s, an endpoint gets at most one and a half times what its
# limit allows, and 5 requests more, from the gateways that have relayed an answer with
# the limit half a second before.
WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
EXTRA_REQUESTS = 5
NOTICE_SECONDS = 0.5
LIMITS = ("0.5", "1", "2", "5")
LIMITED_SERVICES = ("plain", "engine")
# Of a limit before it changes; long enough for a window after `CONTACT_SECONDS`.
MIN_PERIOD_SECONDS, MAX_PERIOD_SECONDS = 4.0, 9.0
MAX_PAUSE_SECONDS = 2.0


@attrs.define(kw_only=True)
class NamedLimit:
    """A limit that an endpoint named for a time.

    Attributes
    ----------
    values : list of (float, float)
        When each value was named first, and the value.
    ended_at : float
        When the endpoint named it last.
    """

    instance: str
    values: list[tuple[float, float]] = attrs.field(factory=list)
    ended_at: float = float("inf")

    def highest(self, start: float, end: float) -> float:
        """Return the highest value that was named within a period."""
        starts = [at for at, _ in self.values]
        first = max(0, bisect.bisect(starts, start) - 1)
        return max(value for at, value in self.values[first:] if at <= end)


def allowed_requests(limit: float) -> float:
    """Return how many requests an endpoint may get in any `WINDOW_SECONDS`."""
    return LIMIT_FACTOR * limit * WINDOW_SECONDS + EXTRA_REQUESTS


async def change_limits(world, rng: random.Random) -> None:
    """Let one endpoint after another name limits, change them and drop them."""
    while not world.finished:
        await anyio.sleep(rng.uniform(0.0, MAX_PAUSE_SECONDS))
        service = rng.choice(LIMITED_SERVICES)
        limited = {named.instance for named in world.limits if _is_named(named)}
        free = sorted(
            instance
            for instance, endpoint in world.endpoints.items()
            if endpoint.service == service and instance not in limited
        )
        if free:
            await _limit_endpoint(world, rng, rng.choice(free))


def _is_named(named: NamedLimit) -> bool:
    return named.ended_at == float("inf")


async def _limit_endpoint(world, rng: random.Random, instance: str) -> None:
    endpoint = world.endpoints[instance]
    named = NamedLimit(instance=instance)
    world.limits.append(named)
    for _ in range(rng.randint(1, 3)):
        endpoint.server_limit = rng.choice(LIMITS)
        named.values.append((anyio.current_time(), float(endpoint.server_limit)))
        world.checker.record_event(f"{instance} names {endpoint.server_limit}")
        await anyio.sleep(rng.uniform(MIN_PERIOD_SECONDS, MAX_PERIOD_SECONDS))
    endpoint.server_limit = ""
    named.ended_at = anyio.current_time()
    world.checker.record_event(f"{instance} names no limit")


def limit_violations(world) -> list[str]:
    """Return which endpoints got more than their limits allow, and count the cases."""
    relayed = _first_relayed(world)
    arrivals = collections.defaultdict(list)
    for at, fields in world.arrivals:
        key = fields["endpoint"], fields["gateway"]
        if fields["in_touch"] and relayed.get(key, float("inf")) + NOTICE_SECONDS <= at:
            arrivals[fields["endpoint"]].append(at)
    violations = []
    for named in world.limits:
        violations += _excess(named, arrivals[named.instance], world)
    return violations


def _first_relayed(world) -> dict[tuple[str, str], float]:
    """Return when each gateway process first relayed an answer with a limit."""
    relayed: dict[tuple[str, str], float] = {}
    for attempt in world.attempts:
        if attempt.answer is None or "server-limit" not in attempt.answer.headers:
            continue
        signature = attempt.answer.headers.get("x-server-signature", "")
        key = signature.removeprefix("signed."), attempt.process_name
        relayed[key] = min(relayed.get(key, float("inf")), attempt.ended_at)
    return relayed


def _excess(named: NamedLimit, times: list[float], world) -> list[str]:
    first = named.values[0][0] + CONTACT_SECONDS
    for index, start in enumerate(times):
        end = start + WINDOW_SECONDS
        if start < first or end > named.ended_at:
            continue
        world.checker.counts["windows of a limit"] += 1
        count = bisect.bisect(times, end) - index
        limit = named.highest(start - CONTACT_SECONDS, end)
        if count > allowed_requests(limit):
            return [
                f"{named.instance} named a limit of {limit:g} a second and got {count} "
                f"requests in {WINDOW_SECONDS:.0f} s; allowed "
                f"{allowed_requests(limit):g}"
            ]
    return []
