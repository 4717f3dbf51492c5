"""The narrow port to the platform's list of VMs."""

from typing import Protocol

import attrs
from expression import Result

__all__ = ["PlatformList", "VmEntry"]


@attrs.frozen(kw_only=True)
class VmEntry:
    """One VM as the platform lists it, some time ago.

    Attributes
    ----------
    incarnation : str
        Unique to one life of the VM; empty where the platform tells none.
    peer_address : str
        Where a daemon on it is reached by its peers, ``host:port``; empty for
        VMs that run no daemon.
    """

    name: str
    leaving: bool = False
    incarnation: str = ""
    peer_address: str = ""


class PlatformList(Protocol):
    """Where the list is read."""

    async def fetch(self) -> Result[list[VmEntry], str]:
        """Return the list, or why there is none."""
