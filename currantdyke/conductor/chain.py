"""The stages of one request while they are run."""

import anyio
import attrs

from currantdyke.catalog import StageStep
from currantdyke.conductor.messages import PlacementRequest, Refusal

__all__ = ["Chain", "Piece", "StageWork", "bytes_to_set_aside"]

# The configured size of a result is approximate; a piece that finds no room is lost
# time, so that some more is set aside.
RESULT_SIZE_MARGIN = 1.15


def bytes_to_set_aside(step: StageStep) -> int:
    """Return the memory to set aside for one result of a stage."""
    return int(step.result_bytes * RESULT_SIZE_MARGIN)


@attrs.define(kw_only=True, eq=False)
class Piece:
    """One piece of a stage's work.

    Attributes
    ----------
    tries : int
        Calls that carried it and brought no result.
    handle : str or None
        Names the result once it is made.
    """

    chain: "Chain"
    stage: int
    index: int
    tries: int = 0
    handle: str | None = None

    @property
    def step(self) -> StageStep:
        """The stage that the piece belongs to."""
        return self.chain.request.steps[self.stage]

    @property
    def result_bytes(self) -> int:
        """Memory to set aside for the result."""
        return bytes_to_set_aside(self.step)

    def take(self, handle: str) -> None:
        """Record the result."""
        self.handle = handle
        self.chain.missing[self.stage] -= 1

    def lose(self) -> None:
        """Forget the result, which must be made again."""
        if self.handle is not None:
            self.handle = None
            self.chain.missing[self.stage] += 1


@attrs.define(kw_only=True, eq=False)
class StageWork:
    """All pieces of one stage of a chain, which start together.

    Attributes
    ----------
    since : float
        When it was queued.
    """

    chain: "Chain"
    stage: int
    pieces: list[Piece]
    since: float

    @property
    def step(self) -> StageStep:
        """The stage."""
        return self.chain.request.steps[self.stage]


@attrs.define(kw_only=True, eq=False)
class Chain:
    """The pieces of a request's stages, by stage, and what has become of them.

    Attributes
    ----------
    target_at, deadline_at : float
        Steady times in seconds.
    home : str
        The availability zone in which its stages should run.
    missing : list of int
        How many results of each stage are still to be made.
    ended : Event
        Set when all results are there, or the chain has failed.
    """

    request: PlacementRequest
    target_at: float
    deadline_at: float
    home: str = ""
    pieces: list[list[Piece]] = attrs.field(factory=list)
    missing: list[int] = attrs.field(factory=list)
    started: set[int] = attrs.field(factory=set)
    released: set[int] = attrs.field(factory=set)
    refusal: Refusal | None = None
    restarts: int = 0
    ended: anyio.Event = attrs.field(factory=anyio.Event)

    @classmethod
    def of(cls, *, request: PlacementRequest, now: float) -> "Chain":
        """Return the chain of a request with all of its pieces."""
        chain = cls(
            request=request,
            target_at=now + request.target,
            deadline_at=now + request.deadline,
        )
        chain.pieces = [
            [Piece(chain=chain, stage=stage, index=index) for index in range(count)]
            for stage, count in enumerate(request.pieces)
        ]
        chain.missing = list(request.pieces)
        return chain

    def is_done(self, stage: int) -> bool:
        """Whether all results of a stage are there; a stage left out is done."""
        return self.missing[stage] == 0

    def ready_stages(self) -> list[int]:
        """Return the stages that should start now and have not.

        A stage that only the engine waits for starts with the last of the others, so
        that its results do not take up memory while those still run.
        """
        ready = [
            stage
            for stage, step in enumerate(self.request.steps)
            if stage not in self.started
            and all(self.is_done(before) for before in step.after)
        ]
        return [stage for stage in ready if not self._can_wait(stage)]

    def _can_wait(self, stage: int) -> bool:
        """Whether a stage ends its branch and another branch is not at its end."""
        final = set(self.final_stages())
        if stage not in final or self.request.steps[stage].after:
            return False
        return any(
            other not in self.started and self.pieces[other]
            for other in final
            if other != stage and self.request.steps[other].after
        )

    def inputs(self, stage: int) -> tuple[str, ...]:
        """Return the handles of all results that a stage needs."""
        step = self.request.steps[stage]
        return tuple(
            str(piece.handle) for before in step.after for piece in self.pieces[before]
        )

    def final_stages(self) -> list[int]:
        """Return the stages that no other stage follows."""
        followed = {before for step in self.request.steps for before in step.after}
        return [n for n in range(len(self.request.steps)) if n not in followed]

    def final_handles(self) -> tuple[str, ...]:
        """Return the handles that the engine fetches."""
        return tuple(
            str(piece.handle)
            for stage in self.final_stages()
            for piece in self.pieces[stage]
        )

    def final_bytes(self) -> int:
        """Return the size of the results that the engine fetches."""
        return sum(
            len(self.pieces[stage]) * self.request.steps[stage].result_bytes
            for stage in self.final_stages()
        )

    def followers(self, stage: int) -> list[int]:
        """Return the stages that need the results of a stage."""
        return [n for n, step in enumerate(self.request.steps) if stage in step.after]

    def spent_stages(self) -> list[int]:
        """Return the stages whose results no later stage still needs."""
        final = set(self.final_stages())
        return [
            stage
            for stage in range(len(self.request.steps))
            if stage not in final
            and stage not in self.released
            and self.is_done(stage)
            and all(self.is_done(number) for number in self.followers(stage))
        ]

    def finish(self, refusal: Refusal | None = None) -> None:
        """End the chain with all results, or with a refusal."""
        if not self.ended.is_set():
            self.refusal = refusal
            self.ended.set()
