"""Simulation of daemons that share the limits of endpoints, in virtual time."""

import bisect
import random
from collections.abc import Container
from typing import Any

import anyio
import attrs

from currantdyke.catalog import Catalog, Endpoint, Service
from currantdyke.endpointlimits.client import EndpointLimits
from currantdyke.endpointlimits.cold import ColdBounds, ColdEndpoints
from currantdyke.endpointlimits.owners import LimitOwners
from currantdyke.endpointlimits.table import LimitTable
from currantdyke.links.codec import Content, Frame, Ping, encode_frame
from currantdyke.links.link import LinkLostError, LossReason
from currantdyke.platform.answers import ResponseMetadata
from currantdyke.testing.stage_fleet import silent_log

__all__ = ["COLD_BOUNDS", "LimitFleet", "SimulatedDaemon", "response"]

SERVICE = "plain"
LINK_SECONDS = 0.001
ANSWER_SECONDS = 0.02
# After a failure, other daemons are asked for this time, as by the links after several
# failures.
SUSPECT_SECONDS = 12.0
# Of the settings of the users' deployments with cold endpoints.
COLD_BOUNDS = ColdBounds(overage=1.5, tolerance=5.0)
# Of the entries of endpoints, and within which all daemons read one.
HEARTBEAT_SECONDS = 1.0
ENTRY_SECONDS = 0.2


def response(limit: float | None, **changes: Any) -> ResponseMetadata:
    """Return the decoded head of a success that names a limit."""
    fields: dict[str, Any] = {
        "status": 200,
        "attempt_id": "a",
        "signed": True,
        "not_run": False,
        "misdirected": False,
        "closes": False,
        "keep_alive": None,
        "request_rate_limit": limit,
    }
    return ResponseMetadata(**(fields | changes))


@attrs.define(kw_only=True, eq=False)
class SimulatedDaemon:
    """A daemon with its view of the others.

    Attributes
    ----------
    leaving : bool
        Whether it is stopping; all others know that.
    unreachable : set of str
        Daemons with which it can't exchange messages.
    suspects : dict of str to float
        Daemons that did not respond, and until when they are not asked.
    messages, bytes : int
        What it has sent to others.
    """

    name: str
    limits: EndpointLimits
    leaving: bool = False
    unreachable: set[str] = attrs.field(factory=set)
    suspects: dict[str, float] = attrs.field(factory=dict)
    messages: int = 0
    bytes: int = 0


class LimitFleet:
    """Daemons that send requests to the endpoints of one service.

    Parameters
    ----------
    daemons, endpoints : int
        Their numbers.
    limits : dict of int to float
        Limits of endpoints by their number; they may be changed during a run.
    cold_rate : float
        Requests per second that a cold endpoint tolerates.

    Attributes
    ----------
    cold_until : dict of int to float
        Until when endpoints are cold, by their number.
    arrivals : dict of int to list of float
        Times at which each endpoint got requests.
    retry_after : list of float
        Delays of the requests that were refused.
    """

    def __init__(
        self,
        *,
        daemons: int,
        endpoints: int,
        limits: dict[int, float],
        seed: int = 1,
        cold_rate: float = 0.0,
    ):
        self.random = random.Random(seed)
        service = Service(name=SERVICE, cold_rate=cold_rate)
        self.catalog = Catalog(version=1, services={SERVICE: service})
        self.cold_until: dict[int, float] = {}
        self.named: dict[int, float] = limits
        self.endpoints = [
            Endpoint(
                instance=f"e-{number}",
                service=SERVICE,
                address=f"10.0.0.{number}:1",
                availability_zone="zone-a",
                born=1,
            )
            for number in range(endpoints)
        ]
        self.arrivals: dict[int, list[float]] = {n: [] for n in range(endpoints)}
        self.retry_after: list[float] = []
        self.tasks: anyio.abc.TaskGroup | None = None
        self.daemons: dict[str, SimulatedDaemon] = {}
        for number in range(daemons):
            self.start_daemon(f"d-{number:03d}")

    def start_daemon(self, name: str) -> None:
        """Start a daemon that knows the entries alone, in place of one of its name."""
        log = silent_log()
        self.daemons[name] = SimulatedDaemon(
            name=name,
            limits=EndpointLimits(
                log=log,
                request=lambda ip, content: self._request(name, ip, content),
                send=lambda ip, content: self._send(name, ip, content),
                broadcast=lambda content: self._broadcast(name, content),
                owners=LimitOwners(
                    ranked_daemons=lambda service, suspected: self.ranked(
                        name, suspected
                    ),
                    check=lambda ip: self._check(name, ip),
                ),
                count_daemons=lambda: len(self.daemons),
                cold=ColdEndpoints(
                    log=log, catalog=lambda: self.catalog, bounds=COLD_BOUNDS
                ),
                table=LimitTable(
                    position=lambda: (
                        sorted(self.daemons).index(name) / len(self.daemons)
                    )
                ),
            ),
        )
        for number in self.cold_until:
            self._read_entry(self.daemons[name], number)

    async def turn_cold(
        self, number: int, seconds: float, *, unread: Container[str] = ()
    ) -> None:
        """Let an endpoint be cold for a time, and its heartbeats reach the daemons.

        Parameters
        ----------
        unread : container of str
            Daemons that read no entries in this time.
        """
        now = anyio.current_time()
        self.cold_until[number] = now + seconds
        while now < self.cold_until[number] + HEARTBEAT_SECONDS:
            for name in self.daemons:
                if name not in unread and self.tasks is not None:
                    delay = self.random.uniform(0.0, ENTRY_SECONDS)
                    self.tasks.start_soon(self._read_late, name, number, delay)
            await anyio.sleep(HEARTBEAT_SECONDS)
            now = anyio.current_time()

    async def _read_late(self, name: str, number: int, delay: float) -> None:
        await anyio.sleep(delay)
        if name in self.daemons:
            self._read_entry(self.daemons[name], number)

    def _read_entry(self, daemon: SimulatedDaemon, number: int) -> None:
        remaining = max(0.0, self.cold_until[number] - anyio.current_time())
        entry = attrs.evolve(self.endpoints[number], cold_remaining=remaining)
        daemon.limits.cold.on_entry(entry)

    def ranked(self, name: str, suspected: bool) -> list[str]:
        """Return the owners in order, as one daemon sees them."""
        own, now = self.daemons[name], anyio.current_time()
        others = [
            other.name
            for other in self.daemons.values()
            if other is not own
            and not other.leaving
            and (suspected or own.suspects.get(other.name, -1.0) <= now)
        ]
        if not (others and own.leaving):
            others.append(name)
        return ["" if other == name else other for other in sorted(others)]

    async def run(
        self,
        *,
        rate: float,
        seconds: float,
        during: Any = None,
        entries: list[str] | None = None,
    ) -> None:
        """Send requests for a time, at random moments.

        Parameters
        ----------
        rate : float
            Requests per second of the whole fleet.
        during : callable, optional
            Runs at the same time, for example to inject faults.
        entries : list of str, optional
            Daemons that get requests; by default all.
        """
        async with anyio.create_task_group() as self.tasks:
            if during is not None:
                self.tasks.start_soon(during, self)
            ends_at = anyio.current_time() + seconds
            while anyio.current_time() < ends_at:
                name = self.random.choice(entries or sorted(self.daemons))
                self.tasks.start_soon(self._send_request, self.daemons[name])
                await anyio.sleep(self.random.expovariate(rate))
            self.tasks.cancel_scope.cancel()

    def busiest(self, number: int, seconds: float, *, start: float = 0.0) -> int:
        """Return the most requests that an endpoint got within a time."""
        times = [at for at in self.arrivals[number] if at >= start]
        return max(
            (
                bisect.bisect(times, at + seconds) - index
                for index, at in enumerate(times)
            ),
            default=0,
        )

    def rate_of(self, number: int, start: float, end: float) -> float:
        """Return the requests per second that an endpoint got within a period."""
        times = self.arrivals[number]
        count = bisect.bisect(times, end) - bisect.bisect(times, start)
        return count / (end - start)

    async def _send_request(self, daemon: SimulatedDaemon) -> None:
        waits = []
        numbers = list(range(len(self.endpoints)))
        self.random.shuffle(numbers)
        for number in numbers:
            endpoint = self.endpoints[number]
            wait = await daemon.limits.admit(endpoint, sheddable=False)
            if not wait:
                sent_at = anyio.current_time()
                self.arrivals[number].append(sent_at)
                answer = response(self.named.get(number))
                await anyio.sleep(ANSWER_SECONDS)
                daemon.limits.record_response(endpoint, answer, sent_at)
                return
            waits.append(wait)
        self.retry_after.append(min(waits))

    def _count(self, name: str, content: Content) -> None:
        daemon = self.daemons[name]
        daemon.messages += 1
        daemon.bytes += len(encode_frame(Frame(number=1, content=content)))

    def _is_cut(self, name: str, other: str) -> bool:
        return other not in self.daemons or (
            other in self.daemons[name].unreachable
            or name in self.daemons[other].unreachable
        )

    async def _request(self, name: str, ip: str, content: Any) -> Any:
        self._count(name, content)
        await anyio.sleep(LINK_SECONDS)
        if self._is_cut(name, ip):
            self.daemons[name].suspects[ip] = anyio.current_time() + SUSPECT_SECONDS
            raise LinkLostError(ip, reason=LossReason.LINK_LOST)
        answer = await self.daemons[ip].limits.handle_request(content, name)
        self._count(ip, answer)
        await anyio.sleep(LINK_SECONDS)
        return answer

    def _check(self, name: str, ip: str) -> None:
        self._count(name, Ping())
        if not self._is_cut(name, ip):
            self.daemons[name].suspects.pop(ip, None)

    def _send(self, name: str, ip: str, content: Any) -> None:
        self._count(name, content)
        if not self._is_cut(name, ip):
            assert self.tasks is not None
            self.tasks.start_soon(self._deliver, ip, content)

    async def _deliver(self, ip: str, content: Any) -> None:
        await anyio.sleep(LINK_SECONDS)
        if ip in self.daemons:
            self.daemons[ip].limits.handle_report(content, SERVICE)

    def _broadcast(self, name: str, content: Any) -> None:
        for other in list(self.daemons):
            if other != name:
                self._send(name, other, content)
