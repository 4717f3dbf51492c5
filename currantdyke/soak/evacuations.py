"""Operators who evacuate an availability zone and restore it."""

import random

import anyio
import attrs

__all__ = ["ZONES", "Evacuation", "evacuate_zones", "evacuation_violations"]

# Of the endpoints; the gateways are in the first.
ZONES = ("zone-a", "zone-b")
# Bound of the users from the write to the store, for gateways in touch.
EVACUATION_SECONDS = 5.0
# Longer than the bound, so that late requests are detected.
MIN_SECONDS, MAX_SECONDS = 7.0, 9.0
# Short, since a run lasts less than a minute; a restored zone gets work in this time.
MIN_INTERVAL_SECONDS, MAX_INTERVAL_SECONDS = 1.5, 2.5
# Any value will do.
VALUES = (b"", b"{}", b"\xff\x00 no JSON", b"x" * 5_000)


@attrs.frozen(kw_only=True)
class Evacuation:
    """The time in which the record of a zone's evacuation was in the store."""

    zone: str
    start: float
    end: float


async def evacuate_zones(world, rng: random.Random) -> None:
    """Evacuate one zone after another, and restore it."""
    while not world.finished:
        await anyio.sleep(rng.uniform(MIN_INTERVAL_SECONDS, MAX_INTERVAL_SECONDS))
        zone = rng.choice(ZONES)
        key = f"op/evacuate/{zone}"
        world.checker.record_event(f"{zone} is evacuated")
        start = anyio.current_time()
        world.store.put(key, rng.choice(VALUES))
        end = start + rng.uniform(MIN_SECONDS, MAX_SECONDS)
        while anyio.current_time() < end and not world.finished:
            await anyio.sleep(MIN_INTERVAL_SECONDS / 10)
        world.store.remove(key)
        world.checker.record_event(f"{zone} is restored")
        world.evacuations.append(
            Evacuation(zone=zone, start=start, end=anyio.current_time())
        )


def evacuation_violations(world) -> list[str]:
    """Return requests that reached a zone too late, and count cases."""
    counts = world.checker.counts
    violations = []
    for evacuation in world.evacuations:
        counts["evacuations"] += 1
        for at, fields in world.arrivals:
            bound = evacuation.start + EVACUATION_SECONDS
            if not bound < at < evacuation.end or not fields["host_in_touch"]:
                continue
            if fields["zone"] != evacuation.zone:
                counts["requests beside an evacuated zone"] += 1
                continue
            violations.append(
                f"{fields['endpoint']} got {fields['attempt_id']} from "
                f"{fields['host']}, {at - evacuation.start:.1f} s after the "
                f"evacuation of {evacuation.zone}"
            )
        counts["requests in a restored zone"] += sum(
            fields["zone"] == evacuation.zone
            and evacuation.end < at < evacuation.end + MAX_INTERVAL_SECONDS
            for at, fields in world.arrivals
        )
    return violations[:1]
