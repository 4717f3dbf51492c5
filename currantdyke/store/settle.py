"""The one place where a write with unknown outcome is settled."""

from collections.abc import Callable

import anyio
import attrs
from expression import Error, Ok, Result

from currantdyke.store.port import Conflict, Entry, Store, Unavailable, Unknown

__all__ = ["SwapError", "Unsettled", "settled_swap"]

FIRST_WAIT_SECONDS = 0.02
LONGEST_WAIT_SECONDS = 0.5


@attrs.frozen(kw_only=True)
class Unsettled:
    """A write was sent and nobody could say in time whether it stands.

    It may also take effect later.
    """

    detail: str
    message: str = (
        "treat the write as one that may stand; settle it again when the "
        "platform's store answers"
    )


SwapError = Conflict | Unavailable | Unsettled


async def settled_swap(
    store: Store,
    key: str,
    expected: int,
    value: bytes,
    *,
    is_mine: Callable[[bytes], bool],
    duty: str,
    deadline: float,
    lease: int = 0,
) -> Result[Entry, SwapError]:
    """Compare and swap, and know afterwards whether the write stands.

    Where an answer is lost the key is read back.  If the key is still at
    ``expected`` the same swap is sent again: the copies carry the same compare, so
    at most one of them can ever take effect, and a delayed one is fenced as soon as
    any write has moved the key.

    Parameters
    ----------
    store : Store
        The port.
    key, expected, value, duty, lease
        As for ``Store.compare_and_swap``.
    is_mine : callable
        Whether a value of this key shows that this very write took effect.  Values
        must therefore carry a nonce of their writer, and later writers must keep
        that evidence for as long as a writer may be settling.
    deadline : float
        Monotonic time at which to give up.

    Returns
    -------
    Result[Entry, SwapError]
        What stands at the key, which holds this write (a later writer may have
        added to it).  ``Conflict``: the write does not stand and never will.
        ``Unavailable``: it was never sent.  ``Unsettled``: nobody knows.

    See Also
    --------
    currantdyke.store.port.Store.compare_and_swap : The single call.
    """
    swap = _Swap(
        store=store,
        key=key,
        expected=expected,
        value=value,
        is_mine=is_mine,
        duty=duty,
        lease=lease,
    )
    with anyio.CancelScope(deadline=deadline):
        return await swap.run()
    return Error(Unsettled(detail=f"no answer for {key!r} in time"))


@attrs.define(kw_only=True, eq=False)
class _Swap:
    """One write under way."""

    store: Store
    key: str
    expected: int
    value: bytes
    is_mine: Callable[[bytes], bool]
    duty: str
    lease: int
    may_stand: bool = False

    async def run(self) -> Result[Entry, SwapError]:
        """Send and read back until the outcome is known."""
        wait = FIRST_WAIT_SECONDS
        while True:
            settled = await self._send()
            if settled is None:
                settled = await self._read_back()
            if settled is not None:
                return settled
            await anyio.sleep(wait)
            wait = min(2 * wait, LONGEST_WAIT_SECONDS)

    async def _send(self) -> Result[Entry, SwapError] | None:
        answer = await self.store.compare_and_swap(
            self.key, self.expected, self.value, duty=self.duty, lease=self.lease
        )
        if answer.is_ok():
            return Ok(
                Entry(
                    key=self.key,
                    value=self.value,
                    revision=answer.ok,
                    lease=self.lease,
                )
            )
        error = answer.error
        if isinstance(error, Conflict):
            return self._judge(error.current) if self.may_stand else Error(error)
        if isinstance(error, Unavailable) and not self.may_stand:
            return Error(error)
        if isinstance(error, Unknown):
            self.may_stand = True
        return None

    async def _read_back(self) -> Result[Entry, SwapError] | None:
        answer = await self.store.get(self.key, duty=self.duty)
        if answer.is_error():
            return None
        found = answer.ok
        if (found.revision if found else 0) == self.expected:
            return None
        return self._judge(found)

    def _judge(self, found: Entry | None) -> Result[Entry, SwapError]:
        """Decide from what stands after the key has left ``expected``."""
        if found is None:
            return Error(Unsettled(detail=f"{self.key!r} is gone with its evidence"))
        if self.is_mine(found.value):
            return Ok(found)
        return Error(Conflict(current=found))
