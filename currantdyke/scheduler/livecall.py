"""State of a call to a stage endpoint that is in progress."""

import anyio
import attrs

from currantdyke.scheduler.chain import Piece
from currantdyke.scheduler.workers import Worker

__all__ = ["LiveCall"]


@attrs.define(kw_only=True, eq=False)
class LiveCall:
    """A call to a stage endpoint that has not ended.

    Attributes
    ----------
    late_at : float
        Monotonic time in seconds from which the call is late.
    checked : bool
        Whether it was decided if the late call goes on.
    given_up : bool
        Whether it was given up, after a retry was taken for each piece.
    """

    worker: Worker
    pieces: list[Piece]
    late_at: float
    checked: bool = False
    given_up: bool = False
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
