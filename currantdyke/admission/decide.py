"""Reject requests predicted to miss their deadline or to queue for too long."""

from collections.abc import Sequence

import attrs

from currantdyke.core import Failure, FailureKind

__all__ = ["Forecast", "StageForecast", "check_admission"]

MIN_RETRY_AFTER_SECONDS = 0.5


@attrs.define(kw_only=True)
class StageForecast:
    """Predicted time of one stage under the current load.

    Attributes
    ----------
    run_seconds, spread_seconds : float
        Time of a call without queueing, and its mean absolute deviation.
    wait_seconds : float
        Time in the queue.
    """

    name: str
    after: tuple[str, ...]
    run_seconds: float
    spread_seconds: float
    wait_seconds: float


@attrs.frozen(kw_only=True)
class Forecast:
    """Predicted time of a request under the current load.

    It is the time along the path of stages with the largest sum of run and wait times.

    Attributes
    ----------
    run_seconds : float
        Time without queueing, including an allowance for deviations.
    wait_seconds : float
        Time in queues.
    """

    run_seconds: float
    wait_seconds: float

    @classmethod
    def from_stages(
        cls, stages: Sequence[StageForecast], spread_factor: float
    ) -> "Forecast":
        """Combine the forecasts of the stages of a request.

        Parameters
        ----------
        stages : sequence of StageForecast
            Stages in the order in which they run.
        spread_factor : float
            Number of mean absolute deviations that are added to the run time of each
            stage.
        """
        ends: dict[str, tuple[float, float]] = {}
        for stage in stages:
            predecessor_ends = [ends[name] for name in stage.after if name in ends]
            run, wait = max(predecessor_ends, key=sum, default=(0.0, 0.0))
            run += stage.run_seconds + spread_factor * stage.spread_seconds
            ends[stage.name] = (run, wait + stage.wait_seconds)
        run, wait = max(ends.values(), key=sum)
        return cls(run_seconds=run, wait_seconds=wait)


def check_admission(
    forecast: Forecast, *, seconds_left: float, wait_share: float
) -> Failure | None:
    """Return the reason for refusing a request, or None to admit it.

    Parameters
    ----------
    forecast : Forecast
        Predicted time of the stages that are to run.
    seconds_left : float
        Seconds until the deadline.
    wait_share : float
        Share of the slack, the time left after running, that may be spent in queues.
    """
    slack = seconds_left - forecast.run_seconds
    if slack <= 0.0:
        return Failure(
            kind=FailureKind.DEADLINE_TOO_SHORT,
            detail=(
                f"{seconds_left:.2f} s are left and the stages "
                f"take about {forecast.run_seconds:.2f} s"
            ),
            retry_after=max(MIN_RETRY_AFTER_SECONDS, forecast.wait_seconds),
        )
    excess = forecast.wait_seconds - wait_share * slack
    if excess <= 0.0:
        return None
    return Failure(
        kind=FailureKind.OVERLOADED,
        detail=f"the queues take about {forecast.wait_seconds:.2f} s",
        retry_after=max(MIN_RETRY_AFTER_SECONDS, excess),
    )
