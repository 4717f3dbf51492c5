"""Connect to endpoints, directly or through other daemons where that fails."""

import random
from collections.abc import Callable

import anyio
import anyio.abc
import attrs

from currantdyke.catalog import Endpoint
from currantdyke.decisionlog import DecisionLog
from currantdyke.directory import EndpointTable
from currantdyke.http1 import set_socket_options
from currantdyke.tunnels.client import TunnelClient, TunnelError

__all__ = ["CONNECT_TIMEOUT_SECONDS", "EndpointPaths", "connect_directly"]

# One-way latency between availability zones is 1 ms. A lost SYN is retransmitted after
# a second, by which time another endpoint would have responded.
CONNECT_TIMEOUT_SECONDS = 0.4
# A direct connection takes some milliseconds; after this time a tunnel is tried too.
HEAD_START_SECONDS = 0.1
# Endpoints that only others reach, with no direct connection in between, after which
# this daemon takes itself for cut off from all.
MIN_BLOCKED = 2
# An endpoint that only others reach is tried directly again after this time.
BLOCKED_SECONDS = 5.0
# Interval of direct connections, to one endpoint each, that show the end of a cut.
CHECK_INTERVAL_SECONDS = 0.5
PROBE_TIMEOUT_SECONDS = 0.5
# Other endpoints that are tried to tell whether this daemon reaches any.
MAX_OTHERS_TRIED = 2
# A direct connection this recent shows that it does.
RECENT_SECONDS = 0.2


async def connect_directly(
    endpoint: Endpoint, *, timeout: float = CONNECT_TIMEOUT_SECONDS
) -> anyio.abc.ByteStream:
    """Return a new connection to an endpoint.

    Raises
    ------
    TimeoutError, OSError
        If there is none in time, or it is refused.
    """
    host, _, port = endpoint.address.rpartition(":")
    with anyio.fail_after(timeout):
        stream = await anyio.connect_tcp(host, int(port))
    set_socket_options(stream)
    return stream


@attrs.define(kw_only=True, eq=False)
class EndpointPaths:
    """How this daemon reaches each endpoint.

    It takes itself for cut off only if others reach what it does not.

    Attributes
    ----------
    blocked : dict of str to (int, float)
        Start of the lifetime of the endpoints that only others reach, and when that was
        last found, by instance.
    connected_at : float
        Time of the last direct connection.
    cut_off : bool
        Whether this daemon takes itself for cut off from all endpoints.
    on_blocked : callable
        Called with the instance of an endpoint that only others reach.
    """

    endpoints: EndpointTable
    tunnels: TunnelClient
    log: DecisionLog
    blocked: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    connected_at: float = float("-inf")
    cut_off: bool = False
    on_blocked: Callable[[str], None] = lambda instance: None
    random_source: random.Random = attrs.field(factory=random.Random)

    async def run(self) -> None:
        """Check until cancelled whether blocked endpoints are reached again."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
            await self._check_blocked()

    async def connect(self, endpoint: Endpoint) -> anyio.abc.ByteStream:
        """Return a connection to an endpoint, the first of a direct one and a tunnel.

        Raises
        ------
        TimeoutError, OSError
            If neither is opened in time.
        """
        deadline = anyio.current_time() + CONNECT_TIMEOUT_SECONDS
        attempt = _ConnectAttempt(paths=self, endpoint=endpoint)
        if not self._is_blocked(endpoint):
            try:
                return await self.connect_directly(endpoint, timeout=HEAD_START_SECONDS)
            except TimeoutError:
                attempt.tries_directly = True
            except OSError as error:
                attempt.error = error
        with anyio.fail_after(deadline - anyio.current_time()):
            return await attempt.run()

    async def connect_directly(
        self, endpoint: Endpoint, *, timeout: float = CONNECT_TIMEOUT_SECONDS
    ) -> anyio.abc.ByteStream:
        """Return a direct connection, and record that there is one.

        Raises
        ------
        TimeoutError, OSError
            As by `connect_directly`.
        """
        stream = await connect_directly(endpoint, timeout=timeout)
        self.connected_at = anyio.current_time()
        self.blocked.pop(endpoint.instance, None)
        if self.cut_off:
            # An endpoint that is still blocked is found so again.
            self.cut_off = False
            self.blocked.clear()
            self.log.write("reaches_endpoints", endpoint=endpoint.instance)
        return stream

    async def refuses(self, endpoint: Endpoint) -> bool:
        """Return whether nothing listens at an endpoint, for this daemon and others.

        A time-out is no sign of that, nor a refusal while this daemon reaches no
        other endpoint: it may be cut off itself.
        """
        refused = False
        try:
            stream = await self.connect_directly(
                endpoint, timeout=PROBE_TIMEOUT_SECONDS
            )
        except TimeoutError:
            if not self.cut_off:
                return False
        except OSError:
            refused = True
        else:
            await anyio.aclose_forcefully(stream)
            return False
        if refused and await self.reaches_another(endpoint):
            return True
        try:
            tunnel = await self.tunnels.open(endpoint)
        except TunnelError as error:
            return error.refused
        await anyio.aclose_forcefully(tunnel)
        return False

    async def reaches_another(self, endpoint: Endpoint) -> bool:
        """Return whether this daemon reaches an endpoint at another address.

        True as well if there is none.
        """
        if anyio.current_time() - self.connected_at < RECENT_SECONDS:
            return True
        others = [
            other
            for other in self.endpoints.known.values()
            if other.address != endpoint.address
        ]
        self.random_source.shuffle(others)
        for other in others[:MAX_OTHERS_TRIED]:
            try:
                stream = await self.connect_directly(other, timeout=HEAD_START_SECONDS)
            except (OSError, TimeoutError):
                # The next one may be sound.
                continue
            await anyio.aclose_forcefully(stream)
            return True
        return not others

    def record_tunnel(self, endpoint: Endpoint) -> None:
        """Record that others reach an endpoint, and this daemon does not."""
        now = anyio.current_time()
        if endpoint.instance not in self.blocked:
            self.on_blocked(endpoint.instance)
        self.blocked[endpoint.instance] = endpoint.born, now
        found = [at for _, at in self.blocked.values() if at > self.connected_at]
        if len(found) >= MIN_BLOCKED and not self.cut_off:
            self.cut_off = True
            self.log.write(
                "cut_off",
                failure=True,
                endpoints=sorted(self.blocked)[:8],
                connected_seconds_ago=round(now - self.connected_at, 3),
            )

    def _is_blocked(self, endpoint: Endpoint) -> bool:
        if self.cut_off:
            return True
        if not self.blocked:
            return False
        born, at = self.blocked.get(endpoint.instance, (0, 0.0))
        recent = anyio.current_time() < at + BLOCKED_SECONDS
        return born == endpoint.born and recent

    async def _check_blocked(self) -> None:
        """Try one of the blocked endpoints directly, and forget those that are gone."""
        oldest = anyio.current_time() - BLOCKED_SECONDS
        if not self.cut_off:
            self.blocked = {
                name: entry for name, entry in self.blocked.items() if entry[1] > oldest
            }
        known = [
            endpoint
            for name in self.blocked
            if (endpoint := self.endpoints.known.get(name)) is not None
        ]
        if self.cut_off and not known:
            known = list(self.endpoints.known.values())
        if not known:
            return
        try:
            stream = await self.connect_directly(self.random_source.choice(known))
        except (OSError, TimeoutError):
            # It is still blocked, or gone.
            return
        await anyio.aclose_forcefully(stream)


@attrs.define(kw_only=True, eq=False)
class _ConnectAttempt:
    """A tunnel, and possibly a direct connection beside it; the first one is used.

    Attributes
    ----------
    tries_directly : bool
        Whether a direct connection may still be opened.
    error : Exception or None
        Why there is none.
    """

    paths: EndpointPaths
    endpoint: Endpoint
    tries_directly: bool = False
    error: Exception | None = None
    streams: list[anyio.abc.ByteStream] = attrs.field(factory=list)

    async def run(self) -> anyio.abc.ByteStream:
        """Return the first connection, or raise the error of the direct one."""
        try:
            async with anyio.create_task_group() as tasks:
                if self.tries_directly:
                    tasks.start_soon(self._connect, tasks.cancel_scope)
                tasks.start_soon(self._open_tunnel, tasks.cancel_scope)
        except BaseException:
            await self._close(self.streams)
            raise
        if not self.streams:
            raise self.error or OSError("no connection")
        await self._close(self.streams[1:])
        return self.streams[0]

    async def _close(self, streams: list[anyio.abc.ByteStream]) -> None:
        with anyio.CancelScope(shield=True):
            for stream in streams:
                await anyio.aclose_forcefully(stream)

    async def _connect(self, scope: anyio.CancelScope) -> None:
        try:
            stream = await self.paths.connect_directly(self.endpoint)
        except (OSError, TimeoutError) as error:
            self.error = error
            return
        self.streams.append(stream)
        scope.cancel()

    async def _open_tunnel(self, scope: anyio.CancelScope) -> None:
        try:
            stream = await self.paths.tunnels.open(self.endpoint)
        except TunnelError:
            # Without a tunnel, only a direct connection is left to try.
            if not self.tries_directly and self.error is None:
                await self._connect(scope)
            return
        self.streams.append(stream)
        self.paths.record_tunnel(self.endpoint)
        scope.cancel()
