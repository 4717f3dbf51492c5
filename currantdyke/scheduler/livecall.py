"""State of a call to a stage endpoint that is in progress."""

import anyio
import attrs

from currantdyke.endpointslots.client import Slot
from currantdyke.platform.stagecalls import PieceCall
from currantdyke.scheduler.chain import Piece
from currantdyke.scheduler.workers import Worker

__all__ = ["LiveCall"]


@attrs.define(kw_only=True, eq=False)
class LiveCall:
    """A call to a stage endpoint that has not ended; times in monotonic seconds.

    Attributes
    ----------
    entries : list of PieceCall or None
        What the endpoint is told of the pieces, as of the moment in which they were
        chosen: until the call is sent, the chain may begin another run. None if there
        was an internal error.
    runs : list of int
        For each piece, the run of its chain for which it is called.
    expected_seconds : float
        Duration of the call at an endpoint that is as fast as configured.
    late_at : float
        From when the call is late.
    ends_at : float
        When the call ends at the latest.
    slot : Slot
        The slot of the endpoint, if it is fragile.
    checked : bool
        Whether it was decided if the late call goes on.
    given_up : bool
        Whether it was given up, after a retry was taken for each piece.
    """

    worker: Worker
    pieces: list[Piece]
    entries: list[PieceCall] | None
    runs: list[int] = attrs.field(
        default=attrs.Factory(
            lambda self: [piece.chain.run for piece in self.pieces], takes_self=True
        )
    )
    expected_seconds: float
    late_at: float
    ends_at: float
    slot: Slot = attrs.field(factory=Slot)
    checked: bool = False
    given_up: bool = False
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)

    def awaited_pieces(self) -> list[Piece]:
        """Return the pieces that would have to be called again if the call failed.

        The others belong to a chain that has ended, or whose stages run anew, or have
        the result of a call of an earlier run.
        """
        return [
            piece
            for piece, run in zip(self.pieces, self.runs, strict=True)
            if run == piece.chain.run
            and piece.handle is None
            and not piece.chain.ended.is_set()
        ]
