"""What the system asks of the platform's key-value service.

Every other module depends on this port only, so that another service is one
adapter.
"""

from collections.abc import AsyncIterator
from typing import Protocol

import attrs
from expression import Result

__all__ = ["Conflict", "Entry", "Store", "StoreError", "Unavailable", "Unknown"]


@attrs.frozen(kw_only=True)
class Entry:
    """A key's value and the revision of its last write."""

    key: str
    value: bytes
    revision: int
    lease: int = 0


@attrs.frozen(kw_only=True)
class Conflict:
    """A compare failed: the key is not at the expected revision.

    ``current`` is what stands there, or None where there is no such key.
    """

    current: Entry | None
    message: str = "another writer was first; read the key again and decide anew"


@attrs.frozen(kw_only=True)
class Unavailable:
    """The store did not take the call: nothing was written."""

    detail: str
    message: str = "the platform's store does not answer; try again later"


@attrs.frozen(kw_only=True)
class Unknown:
    """A write was sent and its answer lost: it may stand or not."""

    detail: str
    message: str = "read the key back to learn whether the write stands"


StoreError = Conflict | Unavailable | Unknown


class Store(Protocol):
    """The port. Each call names the duty it is for, which is counted."""

    async def get(self, key: str, *, duty: str) -> Result[Entry | None, Unavailable]:
        """Return the entry of a key, or None."""
        ...

    async def list(self, prefix: str, *, duty: str) -> Result[list[Entry], Unavailable]:
        """Return all entries whose keys begin with ``prefix``, by key."""
        ...

    async def compare_and_swap(
        self, key: str, expected: int, value: bytes, *, duty: str, lease: int = 0
    ) -> Result[int, StoreError]:
        """Write if the key is at revision ``expected`` (0: if absent).

        Returns
        -------
        Result[int, StoreError]
            The new revision.
        """
        ...

    async def delete(
        self, key: str, expected: int, *, duty: str
    ) -> Result[int, StoreError]:
        """Delete a key that is at revision ``expected``.

        Returns
        -------
        Result[int, StoreError]
            The store's revision after it.
        """
        ...

    async def grant_lease(self, seconds: int, *, duty: str) -> Result[int, Unavailable]:
        """Return the id of a new lease."""
        ...

    async def keep_alive(self, lease: int, *, duty: str) -> Result[bool, Unavailable]:
        """Renew a lease; False where it has lapsed."""
        ...

    def watch(
        self, prefix: str, from_revision: int, *, duty: str
    ) -> AsyncIterator[Entry]:
        """Yield entries as they are written; ends when the watch breaks."""
        ...
