"""Configurations judged by their effects: what ran where, and what was refused."""

import itertools
import random

import anyio
import anyio.abc

from currantdyke.emulator import Caller, CallerAnswer, caller_headers
from currantdyke.soak.callers import CONNECTION_ERRORS
from currantdyke.soak.configurations import FIRST_KEY
from currantdyke.soak.gateways import SupervisedGateway

__all__ = ["effect_violations", "judge_effects"]

# Required by the users: a version is in force this long after the write to the store.
DUE_SECONDS = 2.0
PROBE_INTERVAL_SECONDS = 0.05
# Routes and keys that were added or taken away last, among which probes choose.
LATEST = 5
FINAL_REFUSALS = (401, 403, 404)
# Required by the users: requests on added routes are served at least this often, as a
# share of how often others are, if there are as many as this.
MIN_ADDED_SHARE, MIN_ADDED = 1 / 4, 20
PROBE_NUMBERS = itertools.count(1)


async def judge_effects(world, rng: random.Random) -> None:
    """Send requests to each gateway by which its configuration shows."""
    async with anyio.create_task_group() as tasks:
        for gateway in world.gateways:
            gateway_random = random.Random(rng.random())
            tasks.start_soon(_probe, world, gateway, gateway_random)


async def _probe(world, gateway: SupervisedGateway, rng: random.Random) -> None:
    while not world.finished:
        configurations = world.configurations
        kind = rng.choice(("moved", "added", "latest", "new key", "taken away"))
        prefix, key = "/plain/", FIRST_KEY
        if kind == "new key":
            key = rng.choice(configurations.keys[-LATEST:])
        if kind == "added" and configurations.grown_prefixes:
            prefix = rng.choice(configurations.grown_prefixes)
        elif kind == "latest" and configurations.grown_prefixes:
            prefix = rng.choice(configurations.grown_prefixes[-LATEST:])
        elif kind == "taken away" and configurations.replaced_keys:
            key = rng.choice(configurations.replaced_keys[-LATEST:])
        await _judge(world, gateway, prefix, key)
        await anyio.sleep(PROBE_INTERVAL_SECONDS)


async def _judge(world, gateway: SupervisedGateway, prefix: str, key: str) -> None:
    """Send a request and check that a configuration which may be in force allows it."""
    attempt_id = f"e{next(PROBE_NUMBERS)}"
    started, incarnation = anyio.current_time(), gateway.incarnation
    bound = world.is_in_touch(gateway)
    answer = await _send(gateway.address, attempt_id, prefix, key)
    if answer is None or gateway.incarnation is not incarnation:
        return
    # Faults are no excuse: a gateway that may not know all asks callers to retry.
    allowed = started - world.configurations.both_allowed_since(prefix, key)
    if answer.status in FINAL_REFUSALS and allowed > DUE_SECONDS:
        world.checker.add_final_refusal(
            gateway,
            incarnation,
            f"a request for {prefix} with {key} at {gateway.name} got {answer.status}, "
            f"allowed for {allowed:.1f} s",
        )
    if not bound or not world.is_in_touch(gateway):
        return
    documents = world.configurations.possible_documents(started - DUE_SECONDS)
    ran_at = _services(world, attempt_id)
    problem = _find_problem(documents, prefix, key, answer.status, ran_at)
    counts = world.checker.counts
    counts["effects judged"] += 1
    if problem:
        counts["handled as only older versions allow"] += 1
        versions = [document["version"] for document in documents]
        world.checker.add_violation(
            f"{gateway.name}: {problem}, and the versions {versions} may be in force"
        )
    if all(_allows(document, prefix, key) for document in documents):
        kind = "first" if prefix == "/plain/" else "added"
        counts[f"on {kind} routes"] += 1
        counts[f"on {kind} routes, served"] += answer.status == 200


def effect_violations(world) -> list[str]:
    """Return whether requests on added routes were served too rarely."""
    counts = world.checker.counts
    added, first = counts["on added routes"], counts["on first routes"]
    if added < MIN_ADDED or not first:
        return []
    served, first_served = (
        counts["on added routes, served"],
        counts["on first routes, served"],
    )
    if served / added >= MIN_ADDED_SHARE * first_served / first:
        return []
    return [
        f"{served} of {added} requests on added routes were served, and {first_served} "
        f"of {first} on the first ones"
    ]


async def _send(
    address: str, attempt_id: str, prefix: str, key: str
) -> CallerAnswer | None:
    headers = caller_headers(attempt_id, key=key, streams=False)
    caller = Caller(address=address)
    try:
        return await caller.request("GET", f"{prefix}1", headers=headers)
    except CONNECTION_ERRORS:
        return None
    finally:
        await caller.close()


def _services(world, attempt_id: str) -> set[str]:
    """Return the services whose endpoints a request reached."""
    recent = itertools.islice(reversed(world.arrivals), 1_000)
    names = [f["endpoint"] for _, f in recent if f["attempt_id"] == attempt_id]
    return {name.rpartition("-")[0] for name in names}


def _find_problem(
    documents: list[dict], prefix: str, key: str, status: int, ran_at: set[str]
) -> str:
    """Return how a request was handled against all of some documents, or nothing."""
    targets = {
        route["service"]
        for document in documents
        for route in document["route_list"]
        if route["prefix"] == prefix
    }
    known = [key in _keys(document) for document in documents]
    has_route = [
        any(route["prefix"] == prefix for route in document["route_list"])
        for document in documents
    ]
    if ran_at and not any(known):
        return f"a request ran with {key}, which was taken away"
    if ran_at - targets:
        return f"a request for {prefix} ran at {sorted(ran_at)}"
    if status in FINAL_REFUSALS and all(known) and all(has_route):
        return f"a request for {prefix} got {status}"
    return ""


def _allows(document: dict, prefix: str, key: str) -> bool:
    return key in _keys(document) and any(
        route["prefix"] == prefix for route in document["route_list"]
    )


def _keys(document: dict) -> list[str]:
    return [key for tenant in document["tenants"] for key in tenant["api_keys"]]
