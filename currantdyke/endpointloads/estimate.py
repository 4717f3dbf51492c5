"""Estimate from a sample of an endpoint's load what a call to it will take."""

import attrs

__all__ = ["LoadSample", "excess_others", "relative_duration", "remaining_weight"]

# The speed of an endpoint changes every 50 to 500 ms. The probability that it has not
# changed since a sample falls almost linearly, to 0.5 after 150 ms and 0.16 after 300.
# From here on the sample counts nothing.
SAMPLE_LIFETIME_SECONDS = 0.3


@attrs.frozen(kw_only=True)
class LoadSample:
    """What an endpoint said of its load in one answer.

    Attributes
    ----------
    at : float
        When the answer arrived, in monotonic seconds.
    others : int
        Requests of other daemons at the endpoint, running or waiting.
    usual_others : float
        Moving average of that number over the endpoint's lifetime.
    duration_factor : float
        How long work took, relative to the normal duration.
    usual_factor : float
        Moving average of that factor over the endpoint's lifetime.
    """

    at: float
    others: int
    usual_others: float
    duration_factor: float
    usual_factor: float


def remaining_weight(age: float, seconds: float = 0.0) -> float:
    """Return how much a sample says about a call, from 1 to 0.

    Parameters
    ----------
    age : float
        Seconds since the sample.
    seconds : float
        Usual duration of the call. The speed changes during a long call as well, so
        that the weight is the mean over this time.

    Examples
    --------
    >>> remaining_weight(0.0), remaining_weight(0.15), remaining_weight(0.4)
    (1.0, 0.5, 0.0)
    >>> remaining_weight(0.0, 0.3), remaining_weight(0.15, 0.3)
    (0.5, 0.125)
    """
    left = SAMPLE_LIFETIME_SECONDS - max(0.0, age)
    if left <= 0.0:
        return 0.0
    if seconds <= left:
        return (left - max(0.0, seconds) / 2) / SAMPLE_LIFETIME_SECONDS
    return left * left / 2 / SAMPLE_LIFETIME_SECONDS / seconds


def relative_duration(sample: LoadSample | None, now: float, seconds: float) -> float:
    """Return the expected duration of a call relative to the endpoint's usual one.

    It is 1 without a sample, and returns to 1 as the sample ages, so that an endpoint
    that was slow is used again.

    Parameters
    ----------
    seconds : float
        Usual duration of the call.

    Examples
    --------
    >>> sample = LoadSample(
    ...     at=0.0, others=0, usual_others=0.0, duration_factor=3.0, usual_factor=1.5
    ... )
    >>> relative_duration(sample, 0.0, 0.0), relative_duration(sample, 0.15, 0.0)
    (2.0, 1.5)
    >>> relative_duration(None, 0.0, 0.0)
    1.0
    """
    if sample is None:
        return 1.0
    excess = sample.duration_factor / sample.usual_factor - 1.0
    return 1.0 + excess * remaining_weight(now - sample.at, seconds)


def excess_others(sample: LoadSample | None, now: float) -> float:
    """Return how many more requests of other daemons than usual are at an endpoint.

    It is 0 without a sample, so that an endpoint is not avoided only because its load
    is known and that of others is not.

    Examples
    --------
    >>> sample = LoadSample(
    ...     at=0.0, others=6, usual_others=4.0, duration_factor=1.0, usual_factor=1.0
    ... )
    >>> [excess_others(sample, now) for now in (0.0, 0.15, 9.0)]
    [2.0, 1.0, 0.0]
    """
    if sample is None:
        return 0.0
    excess = sample.others - sample.usual_others
    return excess * remaining_weight(now - sample.at)
