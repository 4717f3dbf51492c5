"""State of the stages of one request."""

import anyio
import attrs

from currantdyke.catalog import StageStep
from currantdyke.scheduler.messages import PlacementRequest, Refusal

__all__ = ["Chain", "MissingResultError", "Piece", "StageWork", "bytes_to_reserve"]

# The configured size of a result is approximate. A margin is reserved because a call
# whose result finds no memory is wasted.
RESULT_SIZE_MARGIN = 1.15


def bytes_to_reserve(step: StageStep) -> int:
    """Return the bytes of memory to reserve for one result of a stage."""
    return int(step.result_bytes * RESULT_SIZE_MARGIN)


class MissingResultError(Exception):
    """A result is needed that was not made, or was lost since."""


@attrs.define(kw_only=True, eq=False)
class Piece:
    """The unit of a stage's work, which has one result; a call runs one or more.

    Attributes
    ----------
    stage, index : int
        Number of the stage in the request, and of the piece in the stage.
    failed_calls : int
        Calls with this piece that failed.
    handle : str or None
        Handle of the result; None until there is one.
    step : StageStep
        The stage that the piece belongs to.
    result_bytes : int
        Bytes of memory to reserve for the result.
    """

    chain: "Chain"
    stage: int
    index: int
    failed_calls: int = 0
    handle: str | None = None
    step: StageStep = attrs.field(init=False)
    result_bytes: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Look up the stage, which each dispatch needs for each queued piece."""
        self.step = self.chain.request.steps[self.stage]
        self.result_bytes = bytes_to_reserve(self.step)

    def set_result(self, handle: str) -> None:
        """Record the handle of the result."""
        self.handle = handle
        self.chain.missing[self.stage] -= 1

    def discard_result(self) -> None:
        """Discard the result, so that the piece is run again."""
        if self.handle is not None:
            self.handle = None
            self.chain.missing[self.stage] += 1

    def existing_handle(self) -> str:
        """Return the handle of the result.

        Raises
        ------
        MissingResultError
            If there is no result.
        """
        if self.handle is None:
            raise MissingResultError(
                f"piece {self.index} of stage {self.stage} has no result"
            )
        return self.handle


@attrs.define(kw_only=True, eq=False)
class StageWork:
    """Pieces of one stage of a chain that are queued and become ready together.

    Attributes
    ----------
    queued_at : float
        Monotonic time in seconds at which it was queued.
    """

    chain: "Chain"
    stage: int
    pieces: list[Piece]
    queued_at: float

    @property
    def step(self) -> StageStep:
        """The stage that the work belongs to."""
        return self.chain.request.steps[self.stage]


@attrs.define(kw_only=True, eq=False)
class Chain:
    """The pieces of a request's stages and their progress.

    The stages run again if a result was lost. What was called for an earlier run may
    still end: its results are used, its failures are not.

    Attributes
    ----------
    target_at, deadline_at : float
        Monotonic times in seconds.
    preferred_zone : str
        The availability zone in which its stages should run.
    pieces : list of list of Piece
        The pieces of each stage.
    missing : list of int
        Number of outstanding results of each stage.
    run : int
        Number of the current run of the stages, from 0.
    started, released : set of int
        Stages that were started in this run, and stages whose results were released.
    returned : list of Piece
        Pieces of started stages whose call has ended without a result in this run, and
        that were not queued again.
    followers : list of list of int
        For each stage, the stages that take its results as inputs.
    stage_seconds, stage_seconds_by
        Results of `urgency.own_seconds` by stage, and the configuration by which they
        were computed.
    refusal : Refusal or None
        Why the chain failed, if it did.
    ended : Event
        Set when all results are available, or the chain has failed.
    """

    request: PlacementRequest
    target_at: float
    deadline_at: float
    preferred_zone: str = ""
    pieces: list[list[Piece]] = attrs.field(factory=list)
    missing: list[int] = attrs.field(factory=list)
    run: int = 0
    started: set[int] = attrs.field(factory=set)
    released: set[int] = attrs.field(factory=set)
    returned: list[Piece] = attrs.field(factory=list)
    followers: list[list[int]] = attrs.field(init=False)
    stage_seconds: dict[int, float] = attrs.field(factory=dict)
    stage_seconds_by: object = None
    refusal: Refusal | None = None
    ended: anyio.Event = attrs.field(factory=anyio.Event)

    def __attrs_post_init__(self) -> None:
        """Index the stages by their inputs; placements look them up many times."""
        steps = self.request.steps
        self.followers = [
            [n for n, step in enumerate(steps) if stage in step.after]
            for stage in range(len(steps))
        ]

    @classmethod
    def of(cls, *, request: PlacementRequest, now: float) -> "Chain":
        """Create the chain of a request with all of its pieces."""
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
        """Return whether a stage has all of its results, or no pieces."""
        return self.missing[stage] == 0

    def ready_stages(self) -> list[int]:
        """Return the stages that should start now and have not started.

        A stage without predecessors whose results go only to the engine starts together
        with the last stage of the other branches, so that its results do not occupy
        memory while those branches run.
        """
        ready = [
            stage
            for stage, step in enumerate(self.request.steps)
            if stage not in self.started
            and all(self.is_done(predecessor) for predecessor in step.after)
        ]
        return [stage for stage in ready if not self._can_defer(stage)]

    def _can_defer(self, stage: int) -> bool:
        """Return whether a single-stage branch can start later than now.

        It can while the final stage of a longer branch with work has not started.
        """
        final = set(self.final_stages())
        if stage not in final or self.request.steps[stage].after:
            return False
        return any(
            other not in self.started and self.pieces[other]
            for other in final
            if other != stage and self.request.steps[other].after
        )

    def take_ready_work(self, now: float) -> list[StageWork]:
        """Return the work that can be queued, and count it as queued.

        All work of a chain is queued from here, so that none is before its inputs
        exist. The pieces of a stage that starts are one work, since their results
        should all fit in memory; a piece that runs again needs memory for itself only.
        """
        pieces_by_work = []
        while stages := self.ready_stages():
            for stage in stages:
                self.started.add(stage)
                pieces_by_work.append(
                    [piece for piece in self.pieces[stage] if piece.handle is None]
                )
        pieces_by_work += [[piece] for piece in self.returned if piece.handle is None]
        self.returned.clear()
        return [
            StageWork(chain=self, stage=pieces[0].stage, pieces=pieces, queued_at=now)
            for pieces in pieces_by_work
            if pieces
        ]

    def restart(self) -> None:
        """Begin a further run of the stages, without the results of the one before."""
        self.run += 1
        self.started.clear()
        self.released.clear()
        self.returned.clear()
        for pieces in self.pieces:
            for piece in pieces:
                piece.discard_result()

    def input_handles(self, stage: int) -> tuple[str, ...]:
        """Return the handles of all results that a stage takes as inputs.

        Raises
        ------
        MissingResultError
            If one of them does not exist.
        """
        step = self.request.steps[stage]
        return tuple(
            piece.existing_handle()
            for predecessor in step.after
            for piece in self.pieces[predecessor]
        )

    def final_stages(self) -> list[int]:
        """Return the stages without successors."""
        return [n for n, followers in enumerate(self.followers) if not followers]

    def final_handles(self) -> tuple[str, ...]:
        """Return the handles that the engine fetches.

        Raises
        ------
        MissingResultError
            If a result does not exist.
        """
        return tuple(
            piece.existing_handle()
            for stage in self.final_stages()
            for piece in self.pieces[stage]
        )

    def final_bytes(self) -> int:
        """Return the configured size of the results that the engine fetches."""
        return sum(
            len(self.pieces[stage]) * self.request.steps[stage].result_bytes
            for stage in self.final_stages()
        )

    def successors(self, stage: int) -> list[int]:
        """Return the stages that take the results of a stage as inputs."""
        return self.followers[stage]

    def releasable_stages(self) -> list[int]:
        """Return the stages whose results can be released.

        The results of final stages are not among them, since the engine fetches them.
        """
        final = set(self.final_stages())
        return [
            stage
            for stage in range(len(self.request.steps))
            if stage not in final
            and stage not in self.released
            and self.is_done(stage)
            and all(self.is_done(number) for number in self.successors(stage))
        ]

    def finish(self, refusal: Refusal | None = None) -> None:
        """End the chain, with all results or with a refusal, unless it has ended."""
        if not self.ended.is_set():
            self.refusal = refusal
            self.ended.set()
