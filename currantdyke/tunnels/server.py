"""Serve the tunnels that other daemons ask for."""

from collections.abc import Callable

import anyio
import anyio.abc
import attrs

from currantdyke.directory import EndpointTable
from currantdyke.endpointstates.pauses import PauseTable
from currantdyke.tunnels.messages import TunnelRequest, TunnelResult
from currantdyke.tunnels.paths import EndpointPaths
from currantdyke.tunnels.stream import forward

__all__ = ["TunnelServer"]

# Longer than a daemon waits that asks; it has then asked another one.
CONNECT_TIMEOUT_SECONDS = 0.25


@attrs.define(kw_only=True, eq=False)
class TunnelServer:
    """Connects other daemons with endpoints, directly only.

    A tunnel never leads through a third daemon, so that two that are cut off both do
    not ask each other in a circle.

    Attributes
    ----------
    is_stopping : callable
        Returns whether this daemon is shutting down; open tunnels go on.
    max_open : int
        Number of tunnels that may be open.
    open : int
        Number of tunnels that are open.
    """

    endpoints: EndpointTable
    paths: EndpointPaths
    pauses: PauseTable
    is_stopping: Callable[[], bool]
    max_open: int
    open: int = 0
    served: int = 0

    async def serve(
        self,
        asking: anyio.abc.ByteStream,
        request: TunnelRequest,
        answer: Callable[[TunnelResult], bytes],
    ) -> None:
        """Answer a request, and forward the tunnel's bytes until it ends."""
        self.open += 1
        try:
            result, endpoint = await self._connect(request)
            try:
                await asking.send(answer(result))
                if endpoint is not None:
                    self.served += 1
                    await forward(asking, endpoint)
            finally:
                if endpoint is not None:
                    with anyio.CancelScope(shield=True):
                        await anyio.aclose_forcefully(endpoint)
        finally:
            self.open -= 1

    async def _connect(
        self, request: TunnelRequest
    ) -> tuple[TunnelResult, anyio.abc.ByteStream | None]:
        endpoint = self.endpoints.usable(request.instance)
        if (
            endpoint is None
            or endpoint.born != request.born
            or self.is_stopping()
            or self.open > self.max_open
            or self.pauses.left(endpoint, anyio.current_time())
        ):
            return TunnelResult.UNWILLING, None
        if self.paths.cut_off:
            return TunnelResult.CUT_OFF, None
        try:
            stream = await self.paths.connect_directly(
                endpoint, timeout=CONNECT_TIMEOUT_SECONDS
            )
        except TimeoutError:
            return TunnelResult.UNREACHED, None
        except OSError:
            reaches = await self.paths.reaches_another(endpoint)
            return (TunnelResult.REFUSED if reaches else TunnelResult.CUT_OFF), None
        if self.endpoints.is_evacuated(endpoint):
            # Its evacuation began meanwhile.
            await anyio.aclose_forcefully(stream)
            return TunnelResult.UNWILLING, None
        return TunnelResult.CONNECTED, stream
