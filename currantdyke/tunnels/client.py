"""Open tunnels to endpoints through daemons that reach them."""

import math
import random
from collections.abc import Awaitable, Callable, Collection

import anyio
import anyio.abc
import attrs

from currantdyke.catalog import Endpoint
from currantdyke.http1 import CONNECTION_ERRORS
from currantdyke.platform.records import DaemonEntry
from currantdyke.tunnels.messages import TunnelRequest, TunnelResult
from currantdyke.tunnels.stream import TunnelStream

__all__ = ["TunnelClient", "TunnelError"]

# Two at once until one is known that reaches endpoints.
ASKED_AT_ONCE = 2
MAX_ASKED = 6
# A daemon that reaches an endpoint has a connection after some milliseconds. After this
# time others are asked too; if all are slow, the first answer still counts.
ASK_TIMEOUT_SECONDS = 0.2
SEARCH_TIMEOUT_SECONDS = 0.6
# A daemon that is cut off itself, or does not respond, is asked last for this time.
AVOID_SECONDS = 3.0
# For this long, no daemon is asked again for an endpoint that others do not reach.
GONE_SECONDS = 1.0


class TunnelError(Exception):
    """No daemon has opened a tunnel.

    Attributes
    ----------
    refused : bool
        Whether a daemon that reaches other endpoints found that nothing listens there.
    """

    def __init__(self, detail: str, *, refused: bool = False):
        super().__init__(detail)
        self.refused = refused


# Asks a daemon for a tunnel; raises one of CONNECTION_ERRORS without an answer.
OpenTunnel = Callable[
    [DaemonEntry, TunnelRequest], Awaitable[tuple[TunnelResult, TunnelStream]]
]


@attrs.define(kw_only=True, eq=False)
class _Search:
    """The daemons that are asked for a tunnel to one endpoint.

    Attributes
    ----------
    asked_at : dict of str to float
        When each daemon was asked, by IP.
    pending : set of str
        IPs of those that have not answered.
    results : list of TunnelResult
        What the others answered.
    stream : TunnelStream or None
        The first tunnel.
    answered : anyio.Event
        Set at each answer.
    """

    endpoint: Endpoint
    asked_at: dict[str, float] = attrs.field(factory=dict)
    pending: set[str] = attrs.field(factory=set)
    results: list[TunnelResult] = attrs.field(factory=list)
    stream: TunnelStream | None = None
    answered: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def refused(self) -> bool:
        """Whether nothing listens at the endpoint."""
        return TunnelResult.REFUSED in self.results

    @property
    def gone(self) -> bool:
        """Whether others do not reach the endpoint either."""
        unreached = self.results.count(TunnelResult.UNREACHED)
        return self.stream is None and (self.refused or unreached >= ASKED_AT_ONCE)

    @property
    def ended(self) -> bool:
        """Whether no further daemon needs to be asked."""
        return self.stream is not None or self.gone

    async def wait_for_answers(self) -> None:
        """Wait until there is a tunnel or all have answered.

        One that finds the endpoint gone may be cut off without knowing it, so that the
        others are waited for.
        """
        while self.pending and self.stream is None:
            self.answered = anyio.Event()
            await self.answered.wait()


@attrs.define(kw_only=True, eq=False)
class TunnelClient:
    """Asks other daemons for tunnels.

    Attributes
    ----------
    daemons : callable
        Returns the daemons that may be asked.
    open_tunnel : callable
        Asks one of them.
    avoided : dict of str to float
        Until when daemons are asked last, by IP.
    trusted : str
        IP of the daemon that opened the last tunnel; empty if it has failed since.
    gone : dict of str to (int, float, bool)
        Start of the lifetime of endpoints that others do not reach, until when, and
        whether they refuse connections, by instance.
    opened : int
        Tunnels so far.
    """

    availability_zone: str
    daemons: Callable[[], list[DaemonEntry]]
    open_tunnel: OpenTunnel
    avoided: dict[str, float] = attrs.field(factory=dict)
    trusted: str = ""
    gone: dict[str, tuple[int, float, bool]] = attrs.field(factory=dict)
    random_source: random.Random = attrs.field(factory=random.Random)
    opened: int = 0

    async def open(self, endpoint: Endpoint) -> TunnelStream:
        """Return a tunnel to an endpoint.

        Raises
        ------
        TunnelError
            If no daemon has opened one.
        """
        self._check_gone(endpoint)
        search = _Search(endpoint=endpoint)
        try:
            with anyio.move_on_after(SEARCH_TIMEOUT_SECONDS):
                await self._run_search(search)
        except BaseException:
            if search.stream is not None:
                await anyio.aclose_forcefully(search.stream)
            raise
        if search.stream is not None:
            self._avoid_slow(search)
            self.opened += 1
            return search.stream
        if search.gone:
            self._record_gone(endpoint, refused=search.refused)
            detail = "other daemons do not reach it"
            raise TunnelError(detail, refused=search.refused)
        raise TunnelError(f"{len(search.asked_at)} daemons opened no tunnel")

    async def _run_search(self, search: _Search) -> None:
        """Ask daemons until one has opened a tunnel, or all have answered."""
        async with anyio.create_task_group() as tasks:
            while not search.ended and len(search.asked_at) < MAX_ASKED:
                daemons = self._choose(search.endpoint, search.asked_at.keys())
                if not daemons:
                    break
                for daemon in daemons:
                    search.asked_at[daemon.ip] = anyio.current_time()
                    search.pending.add(daemon.ip)
                    tasks.start_soon(self._ask, daemon, search)
                with anyio.move_on_after(ASK_TIMEOUT_SECONDS):
                    await search.wait_for_answers()
            if not search.ended:
                await search.wait_for_answers()
            tasks.cancel_scope.cancel()

    def _avoid_slow(self, search: _Search) -> None:
        """Ask those last that have not answered in time, since another one has."""
        now = anyio.current_time()
        for ip in search.pending:
            if now >= search.asked_at[ip] + ASK_TIMEOUT_SECONDS:
                self.avoided[ip] = now + AVOID_SECONDS

    def _check_gone(self, endpoint: Endpoint) -> None:
        if not self.gone:
            return
        born, until, refused = self.gone.get(endpoint.instance, (0, -math.inf, False))
        if born == endpoint.born and anyio.current_time() < until:
            raise TunnelError("other daemons do not reach it", refused=refused)

    def _record_gone(self, endpoint: Endpoint, *, refused: bool) -> None:
        now = anyio.current_time()
        self.gone = {name: entry for name, entry in self.gone.items() if now < entry[1]}
        self.gone[endpoint.instance] = endpoint.born, now + GONE_SECONDS, refused

    def _choose(self, endpoint: Endpoint, asked: Collection[str]) -> list[DaemonEntry]:
        """Return the daemons to ask next, the one that opened the last tunnel alone.

        Those in the zone of the endpoint or of this daemon come first, since others
        add traffic between zones, and in them those with more processor time.
        """
        known = [daemon for daemon in self.daemons() if daemon.ip not in asked]
        for daemon in known:
            if daemon.ip == self.trusted:
                return [daemon]
        now = anyio.current_time()
        near = (endpoint.availability_zone, self.availability_zone)

        def sort_key(daemon: DaemonEntry) -> tuple[bool, bool, float]:
            return (
                self.avoided.get(daemon.ip, -math.inf) > now,
                daemon.availability_zone not in near,
                self.random_source.random() / max(daemon.cores, 0.01),
            )

        return sorted(known, key=sort_key)[:ASKED_AT_ONCE]

    async def _ask(self, daemon: DaemonEntry, search: _Search) -> None:
        request = TunnelRequest(
            instance=search.endpoint.instance, born=search.endpoint.born
        )
        result, stream = TunnelResult.CUT_OFF, None
        try:
            result, stream = await self.open_tunnel(daemon, request)
        except CONNECTION_ERRORS:
            # `avoided` holds the consequence; the caller's failure names the endpoint.
            pass
        search.pending.discard(daemon.ip)
        search.results.append(result)
        if result is TunnelResult.CONNECTED:
            self.trusted = daemon.ip
            if search.stream is None:
                search.stream, stream = stream, None
        elif daemon.ip == self.trusted:
            self.trusted = ""
        if result is TunnelResult.CUT_OFF:
            self.avoided[daemon.ip] = anyio.current_time() + AVOID_SECONDS
        search.answered.set()
        if stream is not None:
            await anyio.aclose_forcefully(stream)
