"""Gateways that are cut off from all endpoints for some seconds."""

import random

import anyio
import attrs

from currantdyke.soak.completeness import CONTACT_SECONDS
from currantdyke.soak.link import format_cut
from currantdyke.testing.throttle import Cut

__all__ = ["CutPeriod", "cut_gateways_off", "cut_violations"]

# Bounds of the users: from `CONTACT_SECONDS` after the cut on, first attempts are
# served at these gateways at least two thirds as often as at the others, unless no more
# fail there than this many and a share of all.
MIN_SHARE = 2 / 3
MAX_FAILED, MAX_FAILED_SHARE = 10, 1 / 50
MIN_SECONDS, MAX_SECONDS = 5.0, 8.0
MAX_INTERVAL_SECONDS = 2.0
UPDATE_INTERVAL_SECONDS = 0.2


@attrs.frozen(kw_only=True)
class CutPeriod:
    """A time in which some gateways were cut off, from `start` to `end`."""

    kind: str
    ips: frozenset[str]
    start: float
    end: float


async def cut_gateways_off(world, rng: random.Random) -> None:
    """Cut off some gateways, few or all but one, again and again."""
    while not world.finished:
        await anyio.sleep(rng.uniform(0.0, MAX_INTERVAL_SECONDS))
        count = rng.choice((1, len(world.gateways) - 1, rng.randint(1, 2)))
        chosen = rng.sample(world.gateways, max(1, count))
        kind = rng.choice(list(Cut))
        world.checker.record_event(f"cut off: {kind.value} {[g.name for g in chosen]}")
        start = anyio.current_time()
        end = start + rng.uniform(MIN_SECONDS, MAX_SECONDS)
        while anyio.current_time() < end and not world.finished:
            # Endpoints that start meanwhile are cut off too.
            ports = {proxy.port for proxy in world.proxies.values()}
            for gateway in chosen:
                gateway.cut_file.write_text(format_cut(kind, ports))
                world.checker.record_unplanned(gateway)
            await anyio.sleep(UPDATE_INTERVAL_SECONDS)
        for gateway in chosen:
            gateway.cut_file.write_text("")
        world.cuts.append(
            CutPeriod(
                kind=kind.value,
                ips=frozenset(gateway.ip for gateway in chosen),
                start=start,
                end=anyio.current_time(),
            )
        )
        world.checker.record_event("end of the cut")


def cut_violations(world) -> list[str]:
    """Return the cuts in which gateways served too little, and count cases."""
    violations = []
    for cut in world.cuts:
        counted = [
            attempt
            for attempt in world.attempts
            if attempt.in_touch
            and cut.start + CONTACT_SECONDS <= attempt.sent_at
            # One that ends after the cut would be served by its end.
            and attempt.ended_at <= cut.end
            and _ran_undisturbed(attempt)
        ]
        here = [attempt for attempt in counted if attempt.gateway.ip in cut.ips]
        others = [attempt for attempt in counted if attempt.gateway.ip not in cut.ips]
        if not here or not others:
            continue
        world.checker.counts["requests at gateways that are cut off"] += len(here)
        served, served_by_others = sum(map(_served, here)), sum(map(_served, others))
        failed = len(here) - served
        share, share_of_others = served / len(here), served_by_others / len(others)
        allowed = MAX_FAILED + MAX_FAILED_SHARE * len(counted)
        if share < MIN_SHARE * share_of_others and failed > allowed:
            violations.append(
                f"gateways that were cut off ({cut.kind}) served {served} of "
                f"{len(here)}, the others {served_by_others} of {len(others)}"
            )
    return violations


def _served(attempt) -> bool:
    return attempt.answer is not None and attempt.answer.status == 200


def _ran_undisturbed(attempt) -> bool:
    start = attempt.sent_at - CONTACT_SECONDS
    return not any(start <= at <= attempt.ended_at for at, _ in attempt.gateway.events)
