"""The list as one JSON document over HTTP."""

import attrs
import httpx
import msgspec
from expression import Error, Ok, Result

from currantdyke.platformlist.port import VmEntry

__all__ = ["HttpPlatformList"]

TIMEOUT_SECONDS = 2.0
MAX_LIST_BYTES = 4_000_000
LEAVING = "leaving"


class ListedVm(msgspec.Struct):
    """One VM in the document."""

    name: str
    state: str
    incarnation: str = ""
    peer_address: str = ""


class Listing(msgspec.Struct):
    """The document."""

    vms: list[ListedVm]


@attrs.frozen(kw_only=True)
class HttpPlatformList:
    """Reads the list from a URL.

    Attributes
    ----------
    client : httpx.AsyncClient
        The client to call with; its transport may be in memory.
    """

    client: httpx.AsyncClient
    url: str

    async def fetch(self) -> Result[list[VmEntry], str]:
        """Return the list, or why there is none."""
        try:
            response = await self.client.get(self.url, timeout=TIMEOUT_SECONDS)
            response.raise_for_status()
            if len(response.content) > MAX_LIST_BYTES:
                return Error(f"the list is longer than {MAX_LIST_BYTES} bytes")
            listing = msgspec.json.decode(response.content, type=Listing)
        except (httpx.HTTPError, httpx.InvalidURL, msgspec.MsgspecError) as error:
            return Error(f"{type(error).__name__}: {error!s:.200}")
        return Ok([_entry(vm) for vm in listing.vms])


def _entry(vm: ListedVm) -> VmEntry:
    return VmEntry(
        name=vm.name,
        leaving=vm.state == LEAVING,
        incarnation=vm.incarnation,
        peer_address=vm.peer_address,
    )
