"""Pool of reusable connections to endpoints."""

from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import attrs
import h11

from currantdyke.catalog import Endpoint
from currantdyke.http1 import ConnectionLostError, Http1Connection
from currantdyke.platform.answers import ResponseMetadata
from currantdyke.tunnels.paths import connect_directly
from currantdyke.tunnels.stream import TunnelStream

__all__ = [
    "EndpointConnections",
    "DEFAULT_IDLE_TIMEOUT_SECONDS",
    "ONCE_MAX_IDLE_SECONDS",
]

# Assumed idle time-out of endpoints that announce none.
DEFAULT_IDLE_TIMEOUT_SECONDS = 3.0
# A request that may run only once is not sent on a connection that its endpoint may be
# about to close.
ONCE_MAX_IDLE_SECONDS = 0.8
# An endpoint measures its time-out by its own clock; connections are given up earlier.
IDLE_MARGIN_SECONDS = 0.5
MAX_IDLE_PER_ENDPOINT = 16


@attrs.define(kw_only=True, eq=False)
class IdleConnection:
    """Connection that is kept between two exchanges; times in seconds."""

    connection: Http1Connection
    idle_since: float
    idle_timeout: float


@attrs.define(kw_only=True, eq=False)
class EndpointConnections:
    """Idle connections by instance; a new one is opened if none is usable.

    Attributes
    ----------
    on_response : callable
        Called with the endpoint, the decoded head of each of its responses, the time at
        which the request was sent, and the IP of the daemon through whose tunnel it
        was, empty for none.
    is_withheld : callable
        Returns whether an endpoint, chosen before, may get no new work any more.
    connect : callable
        Opens a connection to an endpoint; raises OSError or TimeoutError.
    """

    on_response: Callable[[Endpoint, ResponseMetadata, float, str], None] = (
        lambda endpoint, facts, sent_at, via: None
    )
    is_withheld: Callable[[Endpoint], bool] = lambda endpoint: False
    connect: Callable[[Endpoint], Awaitable[anyio.abc.ByteStream]] = connect_directly
    idle: dict[str, list[IdleConnection]] = attrs.field(factory=dict)
    opened: int = 0
    reused: int = 0

    async def acquire(self, endpoint: Endpoint, *, once: bool) -> Http1Connection:
        """Return a connection to an endpoint.

        Parameters
        ----------
        once : bool
            Whether the request may run only once.

        Raises
        ------
        ConnectionLostError
            If the endpoint can't be reached.
        """
        now = anyio.current_time()
        # Other tasks run during each close, so the list is looked up again.
        while idle := self.idle.get(endpoint.instance):
            candidate = idle.pop()
            limit = candidate.idle_timeout
            if once:
                limit = min(limit, ONCE_MAX_IDLE_SECONDS)
            if now - candidate.idle_since < limit and candidate.connection.is_quiet():
                self.reused += 1
                return candidate.connection
            await candidate.connection.close()
        return await self._open(endpoint)

    async def release(
        self, endpoint: Endpoint, connection: Http1Connection, facts: ResponseMetadata
    ) -> None:
        """Keep a connection after a complete exchange, or close it."""
        kept = self.idle.setdefault(endpoint.instance, [])
        if (
            not connection.reusable
            # The other daemon lets each tunnel be opened by what it knows then.
            or isinstance(connection.stream, TunnelStream)
            or facts.closes
            or len(kept) >= (MAX_IDLE_PER_ENDPOINT)
        ):
            await connection.close()
            return
        connection.state.start_next_cycle()
        idle_timeout = DEFAULT_IDLE_TIMEOUT_SECONDS
        if facts.keep_alive is not None:
            idle_timeout = max(0.0, facts.keep_alive - IDLE_MARGIN_SECONDS)
        kept.append(
            IdleConnection(
                connection=connection,
                idle_since=anyio.current_time(),
                idle_timeout=idle_timeout,
            )
        )

    async def forget(self, instance: str) -> None:
        """Close the idle connections of an endpoint."""
        for kept in self.idle.pop(instance, []):
            await kept.connection.close()

    async def close_all(self) -> None:
        """Close all idle connections."""
        for instance in list(self.idle):
            await self.forget(instance)

    async def close_stale(self) -> None:
        """Close connections that have exceeded their idle time-out."""
        now = anyio.current_time()
        all_stale: list[IdleConnection] = []
        for instance, kept in list(self.idle.items()):
            stale = [
                entry for entry in kept if now - entry.idle_since >= entry.idle_timeout
            ]
            for entry in stale:
                kept.remove(entry)
            if not kept:
                del self.idle[instance]
            all_stale += stale
        for entry in all_stale:
            await entry.connection.close()

    async def _open(self, endpoint: Endpoint) -> Http1Connection:
        try:
            stream = await self.connect(endpoint)
        except (OSError, TimeoutError) as error:
            raise ConnectionLostError(str(error) or "time-out") from error
        self.opened += 1
        return Http1Connection(stream=stream, role=h11.CLIENT)
