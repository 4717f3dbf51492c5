"""Open tunnels to endpoints through daemons that reach them."""

import math
import random
from collections.abc import Awaitable, Callable

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
# A daemon that reaches an endpoint has a connection after some milliseconds.
ASK_TIMEOUT_SECONDS = 0.2
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
        unreached = 0
        asked: set[str] = set()
        while len(asked) < MAX_ASKED:
            daemons = self._choose(endpoint, asked)
            if not daemons:
                break
            asked |= {daemon.ip for daemon in daemons}
            results, stream = await self._ask(daemons, endpoint)
            if stream is not None:
                self.opened += 1
                return stream
            unreached += results.count(TunnelResult.UNREACHED)
            if TunnelResult.REFUSED in results or unreached >= ASKED_AT_ONCE:
                refused = TunnelResult.REFUSED in results
                self._record_gone(endpoint, refused=refused)
                raise TunnelError("other daemons do not reach it", refused=refused)
        raise TunnelError(f"{len(asked)} daemons opened no tunnel")

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

    def _choose(self, endpoint: Endpoint, asked: set[str]) -> list[DaemonEntry]:
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

    async def _ask(
        self, daemons: list[DaemonEntry], endpoint: Endpoint
    ) -> tuple[list[TunnelResult], TunnelStream | None]:
        """Ask daemons at once; return what they answer, or the first tunnel."""
        results: list[TunnelResult] = []
        streams: list[TunnelStream] = []

        async def ask(daemon: DaemonEntry, scope: anyio.CancelScope) -> None:
            result = TunnelResult.CUT_OFF
            with anyio.move_on_after(ASK_TIMEOUT_SECONDS):
                result = await self._ask_one(daemon, endpoint, streams)
            results.append(result)
            if result is TunnelResult.CONNECTED:
                self.trusted = daemon.ip
                scope.cancel()
                return
            if daemon.ip == self.trusted:
                self.trusted = ""
            if result is TunnelResult.CUT_OFF:
                self.avoided[daemon.ip] = anyio.current_time() + AVOID_SECONDS

        async with anyio.create_task_group() as tasks:
            for daemon in daemons:
                tasks.start_soon(ask, daemon, tasks.cancel_scope)
        for spare in streams[1:]:
            await anyio.aclose_forcefully(spare)
        return results, streams[0] if streams else None

    async def _ask_one(
        self, daemon: DaemonEntry, endpoint: Endpoint, streams: list[TunnelStream]
    ) -> TunnelResult:
        request = TunnelRequest(instance=endpoint.instance, born=endpoint.born)
        try:
            result, stream = await self.open_tunnel(daemon, request)
        except CONNECTION_ERRORS:
            # `avoided` holds the consequence; the caller's failure names the endpoint.
            return TunnelResult.CUT_OFF
        if result is TunnelResult.CONNECTED:
            streams.append(stream)
        else:
            await anyio.aclose_forcefully(stream)
        return result
