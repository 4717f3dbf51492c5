"""Endpoints that say that they leave, or ask for a pause."""

import random

import anyio
import attrs

from currantdyke.soak.promises import MAX_LEAVING_DELAY_SECONDS

__all__ = ["StatedPause", "change_states", "state_violations"]

# Bounds of the users: of a gateway that it has asked for a pause, an endpoint gets at
# most so many requests from half a second later until the end of the pause.
MAX_IN_PAUSE = 2
NOTICE_SECONDS = 0.5
PAUSES = ("1", "2", "2.5")
MAX_INTERVAL_SECONDS = 1.5
# Longer than the bound, so that late requests are detected.
LEAVING_SECONDS = 4.0
STORE_SHARE = 0.5


@attrs.frozen(kw_only=True)
class StatedPause:
    """A pause for which an endpoint asked a gateway, at a time, in seconds."""

    instance: str
    host: str
    at: float
    seconds: float


async def change_states(world, rng: random.Random) -> None:
    """Let one endpoint after another leave, or turn requests away for a time."""
    while not world.finished:
        await anyio.sleep(rng.uniform(0.0, MAX_INTERVAL_SECONDS))
        instance = rng.choice(sorted(world.endpoints))
        if rng.random() < 0.5:
            await _leave(world, instance, announced=rng.random() < STORE_SHARE)
        else:
            await _turn_away(world, instance, rng)


async def _leave(world, instance: str, *, announced: bool) -> None:
    """Replace an endpoint, which says in its answers that it leaves.

    Parameters
    ----------
    announced : bool
        Whether its entry in the store says so too.
    """
    async with world.replacement_lock:
        replaced = world.endpoints.get(instance)
        if replaced is None:
            # It was replaced while this waited for the lock.
            return
        await world.start_endpoint(type(replaced), replaced.service)
        replaced.says_leaving = True
        world.checker.record_event(f"{instance} says that it leaves")
        if announced:
            world.announce(instance, state="draining")
        await anyio.sleep(LEAVING_SECONDS)
        world.remove_endpoint(instance)


async def _turn_away(world, instance: str, rng: random.Random) -> None:
    endpoint = world.endpoints[instance]
    endpoint.retry_after = rng.choice(PAUSES)
    seconds = float(endpoint.retry_after)
    before = len(endpoint.turned_away)
    world.checker.record_event(f"{instance} asks for pauses of {seconds} s")
    await anyio.sleep(rng.uniform(0.5, 2.0) * seconds)
    endpoint.retry_after = ""
    world.pauses += [
        StatedPause(instance=instance, host=host, at=at, seconds=seconds)
        for at, host in endpoint.turned_away[before:]
    ]


def state_violations(world) -> list[str]:
    """Return which endpoints got requests that they did not want, and count cases."""
    return _requests_in_pauses(world) + _requests_after_leaving(world)


def _requests_in_pauses(world) -> list[str]:
    violations = []
    for pause in world.pauses:
        times = [
            at
            for at, fields in world.arrivals
            if fields["endpoint"] == pause.instance
            and fields["host"] == pause.host
            and pause.at + NOTICE_SECONDS < at < pause.at + pause.seconds
        ]
        if _ran_undisturbed(world, pause.host, pause.at, pause.at + pause.seconds):
            world.checker.counts["pauses"] += 1
            if len(times) > MAX_IN_PAUSE:
                violations.append(
                    f"{pause.instance} asked {pause.host} for {pause.seconds} s and got"
                    f" {len(times)} requests"
                )
    return violations[:1]


def _requests_after_leaving(world) -> list[str]:
    """Return the requests from a gateway that had relayed that the endpoint leaves."""
    relayed: dict[tuple[str, str], float] = {}
    sent_at: dict[str, float] = {}
    for attempt in world.attempts:
        sent_at[attempt.attempt_id] = attempt.sent_at
        answer = attempt.answer
        if answer is None or "server-leaving" not in answer.headers:
            continue
        signature = answer.headers.get("x-server-signature", "")
        key = signature.removeprefix("signed."), attempt.gateway.ip
        relayed[key] = min(relayed.get(key, float("inf")), attempt.ended_at)
    world.checker.counts["gateways that relayed a leaving"] += len(relayed)
    violations = []
    for at, fields in world.arrivals:
        since = relayed.get((fields["endpoint"], fields["host"]), float("inf"))
        sent = sent_at.get(fields["attempt_id"], at)
        late = sent - since
        if late > MAX_LEAVING_DELAY_SECONDS and _ran_undisturbed(
            world, fields["host"], since, at
        ):
            violations.append(
                f"{fields['endpoint']} got {fields['attempt_id']} from "
                f"{fields['host']}, {late:.1f} s after that had relayed its leaving"
            )
    return violations[:1]


def _ran_undisturbed(world, host: str, start: float, end: float) -> bool:
    """Whether a gateway's process was neither started nor signalled in a time."""
    gateway = next((g for g in world.gateways if g.ip == host), None)
    return gateway is not None and not any(
        start <= at <= end for at, _ in gateway.events
    )
