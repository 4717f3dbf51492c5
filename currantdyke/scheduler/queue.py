"""Queue of the work of one stage service."""

import attrs

from currantdyke.scheduler.chain import Chain, Piece, StageWork

__all__ = ["ServiceQueue"]


@attrs.define(kw_only=True, eq=False)
class ServiceQueue:
    """Work of one service, before and after there is memory for its results.

    Attributes
    ----------
    waiting : list of StageWork
        Work for whose results there is no memory yet.
    ready : list of Piece
        Pieces that may be called, since there is memory for all results of their stage.
    recheck_scheduled : bool
        Whether a timer will dispatch the queue again.
    """

    waiting: list[StageWork] = attrs.field(factory=list)
    ready: list[Piece] = attrs.field(factory=list)
    recheck_scheduled: bool = False

    def __bool__(self) -> bool:
        """Return whether there is any work."""
        return bool(self.waiting or self.ready)

    def remove_chain(self, chain: Chain) -> None:
        """Remove all work of a chain."""
        self.waiting = [work for work in self.waiting if work.chain is not chain]
        self.ready = [piece for piece in self.ready if piece.chain is not chain]

    def remove_pieces(self, pieces: list[Piece]) -> None:
        """Remove ready pieces that are about to be called."""
        removed = set(map(id, pieces))
        self.ready = [piece for piece in self.ready if id(piece) not in removed]

    def withdraw(self, piece: Piece) -> None:
        """Remove a piece that needs no call any more."""
        self.remove_pieces([piece])
        for work in self.waiting:
            if piece in work.pieces:
                work.pieces.remove(piece)
        self.waiting = [work for work in self.waiting if work.pieces]

    def chain_stages(self) -> list[tuple[Chain, int]]:
        """Return each chain and stage with work in this queue."""
        found = {(id(work.chain), work.stage): work for work in self.waiting}
        stages = [(work.chain, work.stage) for work in found.values()]
        ready = {(id(piece.chain), piece.stage): piece for piece in self.ready}
        return stages + [(piece.chain, piece.stage) for piece in ready.values()]
