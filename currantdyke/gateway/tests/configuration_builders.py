"""Gateways that follow versions of a large configuration over slow links."""

from collections.abc import Awaitable, Callable

import anyio
import attrs

from currantdyke.emulator import PlainEmulator
from currantdyke.gateway.daemon import GatewayDaemon
from currantdyke.gateway.tests.builders import KEY
from currantdyke.testing.gateways import (
    Deployment,
    bulk_routes,
    configuration,
    plain_route,
    run_deployment,
    wait_until,
)

__all__ = [
    "FollowedVersions",
    "follow_large_versions",
    "record_versions",
    "version_of",
]

# 345 KB of JSON, 460 KB as the store sends them.
BULK_ROUTES = bulk_routes(1_760)
VERSIONS = range(2, 8)
VERSION_INTERVAL_SECONDS = 1.43
SETTLE_SECONDS = 3.0
# An endpoint begins to leave shortly after this version is written.
LEAVING_VERSION = 6
LEAVING_DELAY_SECONDS = 0.1
BODY = b"x" * 4_096
CALLERS_PER_GATEWAY = 2
THINK_SECONDS = 0.15


@attrs.define(kw_only=True)
class FollowedVersions:
    """What a deployment with slow links did with a series of versions.

    Attributes
    ----------
    latest_in_force : float
        Longest time in seconds from the write of a version until it, or a later one,
        was in force at a gateway.
    last_request : float
        Time in seconds from the entry by which an endpoint leaves until the last
        request arrived there.
    """

    latest_in_force: float
    last_request: float


def version_of(gateway: GatewayDaemon) -> int:
    """Return the version that is in force; 0 if there is none."""
    routes = gateway.directory.routes
    return 0 if routes is None else routes.catalog.version


async def record_versions(gateway: GatewayDaemon, in_force: dict[int, float]) -> None:
    """Record when each version comes into force, until cancelled."""
    while True:
        in_force.setdefault(version_of(gateway), anyio.current_time())
        await anyio.sleep(0.02)


async def follow_large_versions(
    *,
    bytes_per_second: float,
    prepare: Callable[[Deployment, list[GatewayDaemon]], Awaitable[None]] | None = None,
) -> FollowedVersions:
    """Write a large version and small changes to it, for three fast and two slow links.

    Parameters
    ----------
    bytes_per_second : float
        Bandwidth of the slow links, which carry the bodies of requests too.
    prepare : callable, optional
        Called with the deployment and the gateways on slow links before the versions.
    """
    async with run_deployment(configuration(1, [plain_route()])) as deployment:
        leaving, _ = [
            await deployment.endpoint(PlainEmulator, f"i-{number}", "plain")
            for number in range(2)
        ]
        for _ in range(3):
            await deployment.gateway()
        slow = [
            await deployment.gateway(bytes_per_second=bytes_per_second, cores=0.36)
            for _ in range(2)
        ]
        if prepare is not None:
            await prepare(deployment, slow)
        records: list[dict[int, float]] = [{} for _ in deployment.gateways]
        for number, gateway in enumerate(deployment.gateways):
            deployment.tasks.start_soon(record_versions, gateway, records[number])
            for _ in range(CALLERS_PER_GATEWAY):
                deployment.tasks.start_soon(_send_bodies, deployment, number)
        written, left_at = await _write_versions(deployment, leaving)
        await anyio.sleep(SETTLE_SECONDS)
        now = anyio.current_time()
        late = [
            min([at for known, at in record.items() if known >= version], default=now)
            - written_at
            for record in records
            for version, written_at in written.items()
        ]
        return FollowedVersions(
            latest_in_force=max(late),
            last_request=max([at - left_at for at in leaving.arrived_at]),
        )


async def _write_versions(
    deployment: Deployment, leaving: PlainEmulator
) -> tuple[dict[int, float], float]:
    written: dict[int, float] = {}
    left_at = 0.0
    for version in VERSIONS:
        routes = [plain_route(target_latency_ms=300 + version), *BULK_ROUTES]
        deployment.store.configure(configuration(version, routes))
        written[version] = anyio.current_time()
        if version == LEAVING_VERSION:
            await anyio.sleep(LEAVING_DELAY_SECONDS)
            deployment.store.announce(leaving.instance, leaving.entry(state="draining"))
            left_at = anyio.current_time()
        await anyio.sleep(VERSION_INTERVAL_SECONDS)
    return written, left_at


async def _send_bodies(deployment: Deployment, number: int) -> None:
    while True:
        caller = deployment.caller(number)
        await caller.request("POST", "/plain/", body=BODY, headers=KEY)
        await caller.close()
        await anyio.sleep(THINK_SECONDS)


async def wait_for_daemons(deployment: Deployment) -> None:
    """Wait until each gateway knows all others."""
    count = len(deployment.gateways)
    for gateway in deployment.gateways:
        await wait_until(lambda g=gateway: len(g.directory.daemons) == count)
