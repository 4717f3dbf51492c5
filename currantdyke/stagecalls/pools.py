"""Bounded connection pools, one for each endpoint.

The HTTP client's pool scans all its connections whenever a call begins or ends, so
that one pool for all endpoints takes time quadratic in the number of open streams.
"""

import httpx

__all__ = ["EndpointPools"]

MIN_CONNECTIONS_PER_ENDPOINT = 4


class EndpointPools(httpx.AsyncBaseTransport):
    """Transport that sends each call through the pool of its address.

    Parameters
    ----------
    connections : int
        Maximum number of connections of the first pool. The n-th pool gets an n-th of
        it, with a fixed minimum; the sum over all pools can exceed it.
    """

    def __init__(self, *, connections: int):
        self.connections = connections
        self.pools: dict[bytes, httpx.AsyncHTTPTransport] = {}
        self.tls_context = httpx.create_ssl_context()

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send one call."""
        address = request.url.netloc
        pool = self.pools.get(address)
        if pool is None:
            pool = self.pools[address] = self._new_pool()
        return await pool.handle_async_request(request)

    async def aclose(self) -> None:
        """Close all pools."""
        for pool in self.pools.values():
            await pool.aclose()

    def _new_pool(self) -> httpx.AsyncHTTPTransport:
        max_connections = max(
            MIN_CONNECTIONS_PER_ENDPOINT, self.connections // (len(self.pools) + 1)
        )
        limits = httpx.Limits(
            max_connections=max_connections, max_keepalive_connections=max_connections
        )
        return httpx.AsyncHTTPTransport(verify=self.tls_context, limits=limits)
