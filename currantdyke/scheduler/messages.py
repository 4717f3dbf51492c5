"""Messages between an entry daemon and the scheduler of its requests."""

import enum

import attrs

from currantdyke.catalog import StageStep
from currantdyke.platform.requests import PromptPart

__all__ = ["Placement", "PlacementRequest", "Progress", "ProgressKind", "Refusal"]


@attrs.frozen(kw_only=True)
class PlacementRequest:
    """A request to run stages and to choose an engine.

    Attributes
    ----------
    service : str
        The service of the engine.
    steps : tuple of StageStep
        The route's stages.
    pieces : tuple of int
        Number of pieces of each stage; a stage without pieces is skipped.
    stage_key : str
        Key of the input of stages without predecessors.
    target, deadline : float
        Seconds left until the first event is due, and until an answer is useless.
    rank : int
        Urgency; 0 is the most urgent.
    prompt_tokens, output_tokens : int
        Length of the prompt, and the maximum length of the output.
    parts : tuple of PromptPart
        The parts of the prompt; the last one is usually the request's own.
    availability_zone : str
        The zone of the entry daemon.
    excluded : tuple of str
        Instances that should not be used again for this request.
    sheddable : bool
        Whether a route to the same service has a more urgent rank.
    is_retry : bool
        Whether it was sent to an engine before; then admission control admits it.
    version : str or None
        The version of the engine, if one began the stream; None for any.
    """

    attempt_id: str
    service: str
    steps: tuple[StageStep, ...] = ()
    pieces: tuple[int, ...] = ()
    stage_key: str = ""
    target: float = 1.0
    deadline: float = 10.0
    rank: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    availability_zone: str = ""
    excluded: tuple[str, ...] = ()
    sheddable: bool = False
    is_retry: bool = False
    version: str | None = None


@attrs.frozen(kw_only=True)
class Placement:
    """The engine for a request, and the results that it fetches.

    Attributes
    ----------
    handles : tuple of str or None
        Handles of the results; None if the request has no stages.
    rate_limit : float or None
        The limit of the engine in requests per second, within which this one is
        granted; None if the scheduler has granted nothing.
    has_slot : bool
        Whether the scheduler has taken a slot of the engine, which is fragile, until
        it is told that the run there has ended.
    """

    instance: str
    handles: tuple[str, ...] | None = None
    rate_limit: float | None = None
    has_slot: bool = False


@attrs.frozen(kw_only=True)
class Refusal:
    """Why a request can't be served now, and when to retry.

    Attributes
    ----------
    code : str
        Identifies the reason in logs and failure details.
    retry_after : float
        Delay of the retry in seconds.
    """

    code: str
    detail: str
    retry_after: float


class ProgressKind(enum.Enum):
    """Kinds of progress of a placed request at its engine."""

    STARTED = 1
    FINISHED = 2
    CANCELLED = 3
    ENGINE_LOST = 4
    ENGINE_FULL = 5


@attrs.frozen(kw_only=True)
class Progress:
    """A report of a placed request's progress at its engine.

    Attributes
    ----------
    instance : str
        The engine, if the progress is that of the run there only; empty if it is that
        of all runs of the request.
    keeps_results : bool
        Whether another engine may yet fetch the results of the stages.
    """

    attempt_id: str
    kind: ProgressKind
    instance: str = ""
    keeps_results: bool = False
