"""CONFIG: a version written after the store came back from a copy is never in force."""

import asyncio
import pathlib
import random
import sys
import time

from standin_deployment import (
    HOST,
    KEY,
    CouldNotRunError,
    Deployment,
    configuration,
    plain_route,
    run_case,
    trouble,
)
from standin_http import Client
from standin_runners import PlainRunner

# What was sent, answered and run.
RECORD = pathlib.Path(__file__).with_name("record.txt")
OTHER_KEY = "4kq0revokedkey77ab2c"
# Seconds since the start of traffic.
COPY_AT = 2.0
VERSION_12_AT = 8.0
AWAY_AT = 8.7
BACK_AT = 9.2
VERSION_15_AT = 11.0
# The bound of the rule is 2 s, which an unstable core stretches by 5 s at most; the
# check begins 12 s after the acknowledgement, when the store has been sound for 13.8 s.
CHECK_FROM = 23.0
END = 38.0
INTERVAL_SECONDS = 0.1


def route(name: str, service: str, **fields: object) -> dict:
    """Return a route whose prefix is its name."""
    return plain_route(name=name, prefix=f"/{name}/", service=service, **fields)


def version(number: int) -> dict:
    """Return a version: 15 moves a route, adds one, and takes a key away."""
    last = number >= 15
    keys = [KEY] if last else [KEY, OTHER_KEY]
    commit = route(
        "commit",
        "new-desk" if last else "entry-desk",
        type="non_idempotent",
        max_attempts=1,
    )
    routes = [route("status", "entry-desk"), commit]
    if number >= 12:
        routes.append(route("fees", "entry-desk"))
    if last:
        routes.append(route("labels", "entry-desk"))
    tenants = [{"name": "cider", "api_keys": keys, "priority": 1}]
    return configuration(number, routes, tenants=tenants)


class Requester:
    """Sends requests and finds those that an older version alone allows."""

    def __init__(self, deployment: Deployment, runners: list[PlainRunner]):
        self.deployment = deployment
        self.record = deployment.record
        self.runners = runners
        self.rng = random.Random(3)
        self.stale: list[str] = []
        self.checked = 0
        self.served = 0

    async def send(self, client: Client, name: str, path: str, key: str, since: float):
        """Send one request; ``since`` is the time since the start of traffic."""
        attempt_id = f"{self.rng.getrandbits(64):016x}"
        method = "POST" if path == "commit" else "GET"
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt_id,
            "X-Deadline-Ms": "1003",
            "Authorization": f"Token {key}",
        }
        which = "the key taken away" if key == OTHER_KEY else "the key"
        self.record.write(f"{attempt_id} is sent to {name}: /{path}/ with {which}")
        answer = await client.request(method, f"/{path}/1", headers, timeout=2.0)
        ran_at = [r.service for r in self.runners if attempt_id in r.runs]
        self.record.write(f"{attempt_id} gets {answer.status}, run by {ran_at}")
        self.served += answer.status == 200
        if since < CHECK_FROM:
            return
        self.checked += 1
        if key == OTHER_KEY and ran_at:
            self._add(name, f"{attempt_id} ran with a dropped key")
        elif path == "commit" and "entry-desk" in ran_at:
            self._add(name, f"{attempt_id} was run by the old service")
        elif path == "labels" and answer.status == 404:
            self._add(name, f"{attempt_id} was refused with 404, its route is there")

    def _add(self, name: str, text: str) -> None:
        self.stale.append(name)
        self.record.write(f"CONFIG: {text}, {name}")


async def operate(deployment: Deployment, started: float) -> None:
    """Write the versions, and let the store come back from a copy."""
    store, record = deployment.store, deployment.record

    async def wait_until(seconds: float) -> None:
        await asyncio.sleep(max(0.0, started + seconds - time.monotonic()))

    await wait_until(COPY_AT)
    state = store.copy()
    record.write(f"the store's copy is of revision {store.revision}")
    await wait_until(VERSION_12_AT)
    revision = store.put("op/config", version(12))
    record.write(f"version 12 is acknowledged with revision {revision}")
    if trouble():
        await wait_until(AWAY_AT)
        record.write(f"the store goes away at revision {store.revision}")
        store.go_away()
        await wait_until(BACK_AT)
        store.restore(state)
        store.put("op/config", version(12))
        deployment.write_entries()
        store.come_back()
        record.write(
            f"the store is back from its copy, era {store.era}; the operator and the"
            f" runners have written again, up to revision {store.revision}"
        )
    await wait_until(VERSION_15_AT)
    revision = store.put("op/config", version(15))
    record.write(f"version 15 is acknowledged with revision {revision}")


async def play(deployment: Deployment) -> int:
    """Play the case; return the exit code."""
    record = deployment.record
    zones = [gateway.zone for gateway in deployment.gateways]
    runners = [
        PlainRunner(
            record,
            deployment.runner_host,
            "entry-desk" if number < 4 else "new-desk",
            zones[number % len(zones)],
            slots=6,
        )
        for number in range(8)
    ]
    for runner in runners:
        await runner.start()
        deployment.announce(runner.instance, runner.entry())
    await deployment.start(version(7))
    await asyncio.sleep(2.0)
    started = time.monotonic()
    requester = Requester(deployment, runners)
    operator = asyncio.create_task(operate(deployment, started))
    clients = [gateway.client() for gateway in deployment.gateways]
    kinds = [("status", KEY), ("commit", KEY), ("status", OTHER_KEY), ("labels", KEY)]
    number = 0
    while (since := time.monotonic() - started) < END:
        index = number % len(clients)
        path, key = kinds[number // len(clients) % len(kinds)]
        if path != "labels" or since >= CHECK_FROM:
            name = deployment.gateways[index].name
            await requester.send(clients[index], name, path, key, since)
        number += 1
        await asyncio.sleep(INTERVAL_SECONDS)
    await operator
    for client in clients:
        client.close()
    gateways = sorted(set(requester.stale))
    record.write(
        f"{len(requester.stale)} of {requester.checked} requests that were sent 12 s or"
        f" more after the acknowledgement of version 15 were handled as only an older"
        f" version allows, by {gateways or 'no gateway'}"
    )
    if requester.served < 50:
        raise CouldNotRunError("hardly a request was served")
    return 1 if requester.stale else 0


if __name__ == "__main__":
    sys.exit(run_case(play, RECORD, gateways=3))
