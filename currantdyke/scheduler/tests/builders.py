"""Stage services and request kinds modelled on the users' load of festival entries."""

import math
import random

import anyio
import attrs

from currantdyke.catalog import Endpoint, StageLimits, StageStep
from currantdyke.platform.requests import PromptPart
from currantdyke.platform.stagecalls import PieceCall, PieceFailure, PieceResult
from currantdyke.scheduler.stagecall import CallOutcome
from currantdyke.testing.stage_fleet import RequestKind, StageFleet

__all__ = [
    "LARGE_LOAD_FACTOR",
    "RecordedCalls",
    "ZONES",
    "chain_kinds",
    "fragile_stage_fleet",
    "large_fleet",
    "request_kinds",
    "short_fleet",
    "short_last_stage_fleet",
    "small_fleet",
    "varying_fleet",
]

ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")

SERVICES = {
    "score": StageLimits(
        batch=4,
        call_seconds=0.15,
        piece_seconds=0.032,
        result_memory_bytes=18_000_000,
        result_ttl=4.0,
    ),
    "roll": StageLimits(
        batch=14,
        call_seconds=0.15,
        piece_seconds=0.009114,
        result_memory_bytes=2_418_180,
        result_ttl=4.0,
    ),
    "notice": StageLimits(
        batch=28,
        call_seconds=0.15,
        piece_seconds=0.004557,
        result_memory_bytes=483_636,
        result_ttl=4.0,
    ),
}

# The deployment at 110 VMs: more and larger endpoints, and LARGE_LOAD_FACTOR times the
# requests.
LARGE_SERVICES = {
    "score": StageLimits(
        batch=8,
        call_seconds=0.15,
        piece_seconds=0.016,
        result_memory_bytes=43_000_000,
        result_ttl=4.0,
    ),
    "roll": StageLimits(
        batch=32,
        call_seconds=0.15,
        piece_seconds=0.0040375,
        result_memory_bytes=5_552_940,
        result_ttl=4.0,
    ),
    "notice": StageLimits(
        batch=56,
        call_seconds=0.15,
        piece_seconds=0.0023,
        result_memory_bytes=990_000,
        result_ttl=4.0,
    ),
}
LARGE_LOAD_FACTOR = 4.94

SCORE_STEP = StageStep(service="score", result_bytes=3_000_000)
CHAIN_STEPS = (
    StageStep(service="score", result_bytes=8_000),
    StageStep(service="roll", after=(0,), result_bytes=60_000),
    StageStep(service="notice", after=(1,), result_bytes=6_000),
)
SCORE_AND_CHAIN_STEPS = (
    SCORE_STEP,
    StageStep(service="score", result_bytes=8_000),
    StageStep(service="roll", after=(1,), result_bytes=60_000),
    StageStep(service="notice", after=(2,), result_bytes=6_000),
)


def draw_piece_count(
    rng: random.Random, mean: float, spread: float, maximum: int
) -> int:
    """Draw a number of pieces from a log-normal distribution.

    Parameters
    ----------
    spread : float
        Standard deviation as a ratio of the mean.
    """
    sigma = math.sqrt(math.log(1 + spread * spread))
    value = rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)
    return min(maximum, max(1, round(value)))


def small_fleet(seed: int = 1) -> StageFleet:
    """Return a fleet of three stage services and nine engines in four zones."""
    return StageFleet(services=SERVICES, zones=ZONES, engines=9, seed=seed)


def large_fleet(seed: int = 1) -> StageFleet:
    """Return a fleet of two endpoints per zone and stage service, and 45 engines."""
    return StageFleet(services=LARGE_SERVICES, zones=2 * ZONES, engines=45, seed=seed)


def fragile_stage_fleet() -> StageFleet:
    """Return a fleet whose only stage endpoint runs four calls of one piece at once.

    Once it is fragile, it has a slot for one of them.
    """
    limits = StageLimits(
        slots=4, call_seconds=0.2, result_memory_bytes=1_000_000, result_ttl=4.0
    )
    return StageFleet(services={"score": limits}, zones=ZONES[:1], engines=1)


def request_kinds() -> list[RequestKind]:
    """Return large dossiers, urgent notes with a chain of stages, and small replies."""
    return [
        RequestKind(
            name="dossier",
            rate=5.73,
            target=1.3,
            deadline=12.0,
            rank=1,
            sheddable=True,
            steps=(SCORE_STEP,),
            pieces=lambda r: (
                draw_piece_count(r, 2.5, 0.6, 10) if r.random() < 0.7 else 0,
            ),
            work=(1.0,),
            engine_seconds=0.25,
            prompt=lambda r: (
                PromptPart(part_id=b"%d" % r.randrange(90), tokens=13_300),
                PromptPart(part_id=b"%d" % r.randrange(10**9), tokens=3_720),
            ),
        ),
        RequestKind(
            name="notes",
            rate=4.36,
            target=1.7,
            deadline=10.0,
            rank=0,
            steps=CHAIN_STEPS,
            pieces=lambda r: (1, 8, draw_piece_count(r, 16, 0.4, 40)),
            work=(0.3, 1.0, 1.0),
            prompt=lambda r: (
                PromptPart(part_id=b"n%d" % r.randrange(4), tokens=2_520),
                PromptPart(part_id=b"n%d" % r.randrange(154), tokens=3_780),
            ),
        ),
        RequestKind(
            name="reply",
            rate=8.06,
            target=1.5,
            deadline=15.0,
            rank=2,
            sheddable=True,
            steps=SCORE_AND_CHAIN_STEPS,
            pieces=lambda r: (
                draw_piece_count(r, 1.5, 0.6, 6) if r.random() < 0.4 else 0,
                1,
                8,
                draw_piece_count(r, 16, 0.4, 40),
            ),
            work=(1.0, 0.3, 1.0, 1.0),
        ),
    ]


def short_last_stage_fleet(seed: int = 1) -> StageFleet:
    """Return a fleet of four endpoints a stage, of which the last is short of capacity.

    At the load of `chain_kinds` it is busy for about its whole time.
    """
    batches = {"first": (8, 0.021), "second": (21, 0.0081), "last": (35, 0.0124)}
    memory = {"first": 18_000_000, "second": 2_717_650, "last": 456_250}
    services = {
        name: StageLimits(
            batch=batch,
            call_seconds=0.2,
            piece_seconds=piece_seconds,
            result_memory_bytes=memory[name],
            result_ttl=4.0,
        )
        for name, (batch, piece_seconds) in batches.items()
    }
    return StageFleet(services=services, zones=ZONES, engines=9, seed=seed)


# Batch, seconds a piece and bytes of memory of three stages, by what is short: at the
# load of `chain_kinds` it is busy for about 0.95 of the time, the rest for a third.
SHORT_RESOURCES = {
    "first": ((3, 0.045, 18_000_000), (40, 0.0041, 8_000_000), (70, 0.0062, 900_000)),
    "middle": ((16, 0.0105, 36_000_000), (9, 0.0081, 8_000_000), (70, 0.0062, 900_000)),
    "last": ((16, 0.0105, 36_000_000), (40, 0.0041, 8_000_000), (35, 0.0124, 900_000)),
    "memory": (
        (16, 0.0105, 36_000_000),
        (40, 0.0041, 1_700_000),
        (70, 0.0062, 900_000),
    ),
}


def short_fleet(resource: str, seed: int = 1) -> StageFleet:
    """Return a fleet that is short of one of `SHORT_RESOURCES` only."""
    stages = zip(("first", "second", "last"), SHORT_RESOURCES[resource], strict=True)
    services = {
        name: StageLimits(
            batch=batch,
            call_seconds=0.2,
            piece_seconds=piece_seconds,
            result_memory_bytes=memory,
            result_ttl=4.0,
        )
        for name, (batch, piece_seconds, memory) in stages
    }
    return StageFleet(services=services, zones=ZONES, engines=9, seed=seed)


def chain_kinds() -> list[RequestKind]:
    """Return requests with one stage, urgent ones with three, and small ones."""
    large = StageStep(service="first", result_bytes=1_500_000)
    chain = (
        StageStep(service="first", result_bytes=8_000),
        StageStep(service="second", after=(0,), result_bytes=60_000),
        StageStep(service="last", after=(1,), result_bytes=6_000),
    )

    def chain_pieces(rng: random.Random) -> tuple[int, ...]:
        return 1, 6, draw_piece_count(rng, 10, 0.4, 25)

    return [
        RequestKind(
            name="single",
            rate=6.0,
            target=1.05,
            deadline=6.0,
            rank=1,
            sheddable=True,
            steps=(large,),
            pieces=lambda r: (draw_piece_count(r, 2.5, 0.6, 10),),
            work=(1.0,),
            engine_seconds=0.25,
        ),
        RequestKind(
            name="chain",
            rate=15.0,
            target=1.85,
            deadline=6.0,
            rank=0,
            steps=chain,
            pieces=chain_pieces,
            work=(0.3, 1.0, 1.0),
        ),
        RequestKind(
            name="small",
            rate=6.0,
            target=1.75,
            deadline=20.0,
            rank=2,
            sheddable=True,
            steps=chain,
            pieces=chain_pieces,
            work=(0.3, 1.0, 1.0),
        ),
    ]


def varying_fleet(seed: int = 1) -> tuple[StageFleet, list[RequestKind]]:
    """Return a fleet of three zones with nine endpoints a stage, and its requests.

    It has room for calls that take longer than configured, as they do on average while
    speeds vary.
    """
    batches = {"first": (8, 0.021), "second": (21, 0.0081), "last": (35, 0.0062)}
    memory = {"first": 18_000_000, "second": 8_000_000, "last": 2_000_000}
    services = {
        name: StageLimits(
            batch=batch,
            call_seconds=0.2,
            piece_seconds=piece_seconds,
            result_memory_bytes=memory[name],
            result_ttl=4.0,
        )
        for name, (batch, piece_seconds) in batches.items()
    }
    fleet = StageFleet(services=services, zones=3 * ZONES[:3], engines=12, seed=seed)
    return fleet, chain_kinds()


@attrs.define(kw_only=True)
class RecordedCalls:
    """Calls to the stage endpoints of a fleet, and their inputs and results.

    Of the calls of the second stage, the first finds its inputs gone after
    `GONE_SECONDS`, and the second ends as told; all others run. If they end together,
    the first ends in the same moment as the second, just after it.

    Attributes
    ----------
    ending : CallOutcome, PieceResult or None
        How the second call ends, or what it returns for each piece; None if it returns
        its results.
    seconds : float
        How long the second call takes at least.
    made : dict of str to (str, int, int)
        Attempt id, stage and index of the piece of each result, by its handle.
    calls : list of (float, PieceCall)
        All pieces that were called, and when.
    foreign_inputs : list of PieceCall
        Pieces that were called with other inputs than all results of the stages before.
    """

    GONE_SECONDS = 0.02

    ending: CallOutcome | PieceResult | None
    seconds: float
    together: bool = False
    second_ended: anyio.Event = attrs.field(factory=anyio.Event)
    made: dict[str, tuple[str, int, int]] = attrs.field(factory=dict)
    calls: list[tuple[float, PieceCall]] = attrs.field(factory=list)
    foreign_inputs: list[PieceCall] = attrs.field(factory=list)
    second_stage_calls: int = 0
    gone_at: float = math.inf

    def attach(self, fleet: StageFleet) -> None:
        """Take the calls of a fleet."""
        original = fleet.stages.run_pieces

        async def run_pieces(
            endpoint: Endpoint, pieces: list[PieceCall], timeout: float
        ) -> CallOutcome:
            self._record(fleet, pieces)
            number = 0
            if pieces[0].stage == 1:
                number = self.second_stage_calls = self.second_stage_calls + 1
            if number == 1:
                if self.together:
                    await self.second_ended.wait()
                else:
                    await anyio.sleep(self.GONE_SECONDS)
                self.gone_at = anyio.current_time()
                return _outcome_of_each(PieceFailure.INPUT_GONE, pieces)
            if number == 2 and self.ending is not None:
                await anyio.sleep(self.seconds)
                self.second_ended.set()
                if isinstance(self.ending, CallOutcome):
                    return self.ending
                return CallOutcome(results=[self.ending] * len(pieces))
            if any(piece in self.foreign_inputs for piece in pieces):
                return _outcome_of_each(PieceFailure.INPUT_GONE, pieces)
            outcome = await original(endpoint, pieces, timeout)
            for piece, result in zip(pieces, outcome.results or (), strict=False):
                if result.handle is not None:
                    made = piece.attempt_id, piece.stage, piece.index
                    self.made[result.handle] = made
            if number == 2:
                await anyio.sleep(self.seconds)
            return outcome

        fleet.stages.run_pieces = run_pieces

    def _record(self, fleet: StageFleet, pieces: list[PieceCall]) -> None:
        now = anyio.current_time()
        for piece in pieces:
            self.calls.append((now, piece))
            request = fleet.scheduler.chains[piece.attempt_id].request
            wanted = [
                (piece.attempt_id, stage, index)
                for stage in request.steps[piece.stage].after
                for index in range(request.pieces[stage])
            ]
            if sorted(self.made.get(h, ("", -1, -1)) for h in piece.inputs) != wanted:
                self.foreign_inputs.append(piece)

    def pieces_called_after_loss(self, stage: int) -> list[int]:
        """Return the indices of a stage's pieces that were called after the loss."""
        return [
            piece.index
            for called_at, piece in self.calls
            if piece.stage == stage and called_at > self.gone_at
        ]


def _outcome_of_each(failure: PieceFailure, pieces: list[PieceCall]) -> CallOutcome:
    return CallOutcome(results=[PieceResult(failure=failure)] * len(pieces))
