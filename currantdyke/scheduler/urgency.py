"""Order in which stage work is run."""

from collections.abc import Callable

from currantdyke.catalog import StageLimits
from currantdyke.scheduler.chain import Chain

__all__ = ["MAX_RANK", "own_seconds", "remaining_seconds", "urgency_key"]

SecondsLookup = Callable[[Chain, int], float]

# Slack is the time until the target minus the expected time of the remaining stages.
# A request that can meet its target runs before such a request of the next more urgent
# rank only if its slack is smaller by more than this: about half of a stage call.
SLACK_SECONDS_PER_RANK = 0.15
# Less urgent ranks are treated as this one.
MAX_RANK = 9


def own_seconds(chain: Chain, stage: int, limits: StageLimits | None) -> float:
    """Return the seconds that a stage takes; all its calls are assumed to run at once.

    Parameters
    ----------
    limits : StageLimits or None
        Limits of the stage's service; None if they are not known.
    """
    count = len(chain.pieces[stage])
    if limits is None or not count:
        return 0.0
    return limits.call_seconds + min(limits.batch, count) * limits.piece_seconds


def remaining_seconds(chain: Chain, stage: int, seconds: SecondsLookup) -> float:
    """Return the seconds from a stage's start to the chain's end without queues.

    Parameters
    ----------
    seconds : callable
        Returns the `own_seconds` of a stage.
    """
    longest = 0.0
    for number in chain.successors(stage):
        longest = max(longest, remaining_seconds(chain, number, seconds))
    return seconds(chain, stage) + longest


def urgency_key(chain: Chain, seconds_left: float, now: float) -> tuple:
    """Return a sort key by which work that can still meet its target comes first.

    Such work is ordered by its slack and rank, other work by rank and then by target.

    Parameters
    ----------
    seconds_left : float
        The `remaining_seconds` of the work's stage.
    """
    rank = min(MAX_RANK, chain.request.rank)
    slack = chain.target_at - now - seconds_left
    if slack < 0:
        return True, rank, chain.target_at
    return False, slack + rank * SLACK_SECONDS_PER_RANK, chain.target_at
