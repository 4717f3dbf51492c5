"""Gateways in the process of the test, with an emulated platform."""

import contextlib
import functools
import itertools
import math
import os
import socket
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import anyio
import anyio.abc
import attrs

from currantdyke.decisionlog import DecisionLog
from currantdyke.emulator import (
    Caller,
    EngineEmulator,
    PlainEmulator,
    Restarts,
    StageEmulator,
    StoreEmulator,
    run_with_restarts,
)
from currantdyke.gateway.daemon import GatewayDaemon
from currantdyke.gateway.settings import GatewaySettings, StoreSettings
from currantdyke.testing.throttle import (
    Bandwidth,
    Cut,
    limit_bandwidth,
    throttle_connections,
)

__all__ = [
    "Deployment",
    "bulk_routes",
    "configuration",
    "loopback_ip",
    "run_on_sockets",
    "plain_route",
    "run_deployment",
    "stream_route",
    "wait_until",
]

# Each gateway has its own loopback address, since ports are the same on all VMs; the
# process id in the address separates it from those of other test processes.
HOST_NUMBERS = itertools.count(1)
DEFAULT_TIMEOUT_SECONDS = 8.0
POLL_INTERVAL_SECONDS = 0.02


def plain_route(**changes: object) -> dict:
    """Return a route of a plain service in the platform's format."""
    return {
        "name": "r-plain",
        "host": "one.example",
        "prefix": "/plain/",
        "type": "idempotent",
        "timeout_ms": 2_000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": "plain",
        "max_attempts": 2,
        "public": False,
    } | changes


def stream_route(**changes: object) -> dict:
    """Return a route of an engine service in the platform's format."""
    return (
        plain_route(
            name="r-stream",
            prefix="/stream/",
            type="streaming",
            service="engine",
            stream_resume=True,
            session_affinity=True,
            target_itl_ms=200,
        )
        | changes
    )


def bulk_routes(count: int) -> list[dict]:
    """Return plain routes ``/bulk/0/`` and so on, each of about 0.2 KB of JSON."""
    return [
        plain_route(name=f"r-bulk-{number}", prefix=f"/bulk/{number}/")
        for number in range(count)
    ]


def configuration(version: int, routes: list[dict], **changes: object) -> dict:
    """Return a configuration of one workspace in the platform's format."""
    stage = {
        "slots": 1,
        "queue": 2,
        "batch": 4,
        "call_ms": 20.0,
        "item_ms": 1.0,
        "headroom_mb": 10.0,
        "handle_ttl_s": 4.0,
        "link_mbps": 1_000,
    }
    engine = {"slots": 8, "kv_capacity_tokens": 100_000}
    return {
        "version": version,
        "route_list": routes,
        "services": [
            {"name": "plain", "health_path": "/healthz", "max_connections": 100},
            {"name": "other", "health_path": "/healthz", "max_connections": 100},
            {"name": "engine", "max_connections": 100, "engine": engine},
            {"name": "rank", "max_connections": 100, "segments": stage},
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 1_000_000,
            "header_timeout_ms": 1_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": "cider", "api_keys": ["k1"], "priority": 1}],
    } | changes


def loopback_ip(number: int) -> str:
    """Return a loopback address from ``number`` and the process id modulo 62500.

    Test processes whose ids differ modulo 62500 use different addresses.
    """
    process = os.getpid()
    return f"127.{1 + process // 250 % 250}.{process % 250}.{number}"


def gateway_settings(store: StoreEmulator, seeds: tuple[str, ...]) -> GatewaySettings:
    """Return the settings of one gateway on its own loopback address."""
    number = next(HOST_NUMBERS)
    ip = loopback_ip(number)
    return GatewaySettings(
        name=f"gateway-{number}",
        ip=ip,
        availability_zone="zone-a",
        caller_address=f"{ip}:{_free_port(ip)}",
        readiness_address=f"{ip}:{_free_port(ip)}",
        peer_port=PEER_PORT,
        seed_ips=seeds,
        grace=8.0,
        configuration_delay=2.0,
        heartbeat=1.2,
        retry_ratio=0.2,
        retry_window=10.0,
        retry_slack=100.0,
        cores=0.7,
        memory_bytes=200_000_000,
        file_descriptors=1_500,
        store=StoreSettings(
            address=store.address,
            writes_per_second=400.0,
            reads_per_second=2_000.0,
        ),
    )


PEER_PORT = 17_740


def _free_port(ip: str) -> int:
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


@attrs.define(kw_only=True, eq=False)
class Deployment:
    """The store, endpoints and gateways of a test.

    Attributes
    ----------
    lines : dict of str to list of dict
        Lines of the decision log, by gateway.
    may_cut : bool
        Whether gateways that start may be cut off from endpoints later.
    links : dict of str to Bandwidth
        Links of the gateways that have limited ones or may be cut off.
    endpoint_ports : list of int
        Ports of the endpoints.
    """

    store: StoreEmulator
    tasks: anyio.abc.TaskGroup
    may_cut: bool = False
    links: dict[str, Bandwidth] = attrs.field(factory=dict)
    endpoint_ports: list[int] = attrs.field(factory=list)
    gateways: list[GatewayDaemon] = attrs.field(factory=list)
    lines: dict[str, list[dict]] = attrs.field(factory=dict)

    async def endpoint(
        self,
        kind: type,
        instance: str,
        service: str,
        *,
        restarts: Restarts | None = None,
        **settings: Any,
    ) -> PlainEmulator | EngineEmulator | StageEmulator:
        """Start an endpoint and write its entry to the store.

        Parameters
        ----------
        restarts : Restarts, optional
            How the endpoint comes back after a crash; None for never.
        """
        endpoint: Any = kind(instance=instance, service=service, **settings)
        if restarts is None:
            await self.tasks.start(endpoint.run)
            self.store.put(f"servers/{instance}", endpoint.entry())
        else:
            await self.tasks.start(run_with_restarts, endpoint, self.store, restarts)
        self.endpoint_ports.append(endpoint.port)
        return endpoint

    async def gateway(
        self,
        *,
        seeds: tuple[str, ...] = (),
        bytes_per_second: float | None = None,
        cores: float = 0.7,
    ) -> GatewayDaemon:
        """Start a gateway and wait until it is ready; see `start_gateway`."""
        daemon = self.start_gateway(
            seeds=seeds, bytes_per_second=bytes_per_second, cores=cores
        )
        await wait_until(lambda: daemon.readiness().status == 200)
        return daemon

    def start_gateway(
        self,
        *,
        seeds: tuple[str, ...] = (),
        bytes_per_second: float | None = None,
        cores: float = 0.7,
    ) -> GatewayDaemon:
        """Start a gateway.

        Parameters
        ----------
        bytes_per_second : float or None
            Bandwidth of all connections that it opens together, which then come from
            its own address; None for no limit.
        cores : float
            Processor time that its entry states, which determines its roles.
        """
        settings = attrs.evolve(gateway_settings(self.store, seeds), cores=cores)
        log = DecisionLog(
            daemon=settings.name, descriptor=os.open(os.devnull, os.O_WRONLY)
        )
        daemon = GatewayDaemon(settings=settings, log=log)
        self.lines[settings.name] = record_lines(log)
        self.gateways.append(daemon)
        if bytes_per_second is None and not self.may_cut:
            self.tasks.start_soon(daemon.run)
            return daemon
        bandwidth = Bandwidth(
            bytes_per_second=bytes_per_second or math.inf, local_host=settings.ip
        )
        self.links[settings.name] = bandwidth
        with limit_bandwidth(bandwidth):
            self.tasks.start_soon(daemon.run)
        return daemon

    def cut_off(self, gateways: list[GatewayDaemon], cut: Cut | None) -> None:
        """Cut gateways off from the endpoints that have been started, or end this."""
        for gateway in gateways:
            self.links[gateway.settings.name].set_cut(cut, set(self.endpoint_ports))

    def caller(self, number: int = 0) -> Caller:
        """Return a caller that connects to a gateway."""
        return Caller(address=self.gateways[number].settings.caller_address)


def record_lines(log: DecisionLog) -> list[dict]:
    """Record the lines of a log in the returned list, in addition to writing them."""
    lines: list[dict] = []
    write = log.write

    def record(event: str, **fields: Any) -> None:
        lines.append({"event": event} | fields)
        write(event, **fields)

    log.write = record  # type: ignore[method-assign]
    return lines


@contextlib.asynccontextmanager
async def run_deployment(document: dict) -> AsyncIterator[Deployment]:
    """Run a store with a configuration; the test adds endpoints and gateways."""
    with throttle_connections():
        async with anyio.create_task_group() as tasks:
            store = StoreEmulator()
            await tasks.start(store.run)
            store.put("op/config", document)
            yield Deployment(store=store, tasks=tasks)
            tasks.cancel_scope.cancel()


def run_on_sockets(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Run an async test method on real sockets and in real time."""

    @functools.wraps(test)
    def run(case: unittest.TestCase) -> None:
        anyio.run(test, case)

    return run


async def wait_until(condition, *, seconds: float = DEFAULT_TIMEOUT_SECONDS) -> None:
    """Wait until a condition holds; raise TimeoutError after ``seconds``."""
    with anyio.fail_after(seconds):
        while not condition():
            await anyio.sleep(POLL_INTERVAL_SECONDS)
