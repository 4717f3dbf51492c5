"""Orders to an endpoint and what it says of itself."""

import enum
from typing import Protocol

import anyio
import attrs
import httpx
import msgspec

__all__ = ["ORDER_SECONDS", "HttpOrders", "Observed", "OrderEnd", "Orders"]

ORDER_SECONDS = 3.0
STATE_SECONDS = 1.0
STALE_STATUS = 409


class OrderEnd(enum.Enum):
    """How an order ended, as far as its sender knows."""

    ACCEPTED = "accepted"
    STALE = "stale"
    UNKNOWN = "unknown"


class Observed(msgspec.Struct, frozen=True):
    """What an endpoint says it holds, and the last fencing number it took."""

    models: frozenset[str]
    fencing: int = 0


class Orders(Protocol):
    """The port to endpoints that take orders."""

    async def observe(self, url: str) -> Observed | None:
        """Return an endpoint's state, or None where it does not answer."""
        ...

    async def order(self, url: str, models: frozenset[str], fencing: int) -> OrderEnd:
        """Order a wanted end state; repeating it changes nothing."""
        ...


@attrs.define(kw_only=True, eq=False)
class HttpOrders:
    """Orders over HTTP: the wanted end state by PUT, the state by GET."""

    client: httpx.AsyncClient

    async def observe(self, url: str) -> Observed | None:
        """Return an endpoint's state, or None where it does not answer."""
        try:
            with anyio.fail_after(STATE_SECONDS):
                response = await self.client.get(f"{url}/v1/placement")
            return msgspec.json.decode(response.content, type=Observed)
        except (httpx.HTTPError, TimeoutError, msgspec.MsgspecError):
            return None

    async def order(self, url: str, models: frozenset[str], fencing: int) -> OrderEnd:
        """Order a wanted end state; repeating it changes nothing."""
        wanted = {"models": sorted(models), "fencing": fencing}
        try:
            with anyio.fail_after(ORDER_SECONDS):
                response = await self.client.put(f"{url}/v1/placement", json=wanted)
        except (httpx.HTTPError, TimeoutError):
            return OrderEnd.UNKNOWN
        if response.status_code == STALE_STATUS:
            return OrderEnd.STALE
        return OrderEnd.ACCEPTED if response.is_success else OrderEnd.UNKNOWN
