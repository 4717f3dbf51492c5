"""A bounded pool of connections for each endpoint.

The client's own pool looks at every connection whenever a call begins or ends, so
that one pool over all endpoints costs time in the square of the open streams.
"""

import httpx

__all__ = ["EndpointPools"]

LEAST_CONNECTIONS_PER_ENDPOINT = 4


class EndpointPools(httpx.AsyncBaseTransport):
    """Sends each call through the pool of its address.

    Parameters
    ----------
    connections : int
        Connections to all endpoints together; the bound is shared evenly
        between the addresses known so far.
    """

    def __init__(self, *, connections: int):
        self.connections = connections
        self.pools: dict[bytes, httpx.AsyncHTTPTransport] = {}
        self.tls_context = httpx.create_ssl_context()

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Carry one call."""
        address = request.url.netloc
        pool = self.pools.get(address)
        if pool is None:
            pool = self.pools[address] = self._new_pool()
        return await pool.handle_async_request(request)

    async def aclose(self) -> None:
        """Close every pool."""
        for pool in self.pools.values():
            await pool.aclose()

    def _new_pool(self) -> httpx.AsyncHTTPTransport:
        most = max(
            LEAST_CONNECTIONS_PER_ENDPOINT, self.connections // (len(self.pools) + 1)
        )
        limits = httpx.Limits(max_connections=most, max_keepalive_connections=most)
        return httpx.AsyncHTTPTransport(verify=self.tls_context, limits=limits)
