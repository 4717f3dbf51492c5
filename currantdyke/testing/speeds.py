"""Endpoints whose speed varies, for tests and measurements in virtual time."""

import bisect
import itertools
import math
import random

import anyio
import attrs

from currantdyke.catalog import Endpoint
from currantdyke.endpointloads.estimate import LoadSample
from currantdyke.endpointloads.table import LoadTable
from currantdyke.platform.answers import EndpointLoad

__all__ = ["MEAN_FACTOR", "AgedLoads", "VaryingSpeed", "load_of_factor"]

# Range of the factors on the duration of work, and of the time between changes.
MIN_FACTOR = 0.5
MAX_FACTOR = 4.0
MIN_CHANGE_SECONDS = 0.05
MAX_CHANGE_SECONDS = 0.5
# Mean of a factor that is distributed evenly on a logarithmic scale.
MEAN_FACTOR = (MAX_FACTOR - MIN_FACTOR) / math.log(MAX_FACTOR / MIN_FACTOR)


class VaryingSpeed:
    """Factor on the duration of work, which changes at random times.

    It depends on the seed and the time only, not on the calls.
    """

    def __init__(self, *, seed: int):
        self.random = random.Random(seed)
        self.ends = [self._draw_change()]
        self.factors = [self._draw_factor()]

    def factor(self, now: float) -> float:
        """Return the factor at a time; before the start it is the first one."""
        return self.factors[self._index(now)]

    def duration(self, start: float, seconds: float) -> float:
        """Return how long work takes that normally takes ``seconds``."""
        now, left = start, seconds
        for index in itertools.count(self._index(start)):
            self._index(now)
            factor, end = self.factors[index], self.ends[index]
            if now + left * factor <= end:
                return now + left * factor - start
            left -= (end - now) / factor
            now = end
        raise AssertionError

    def _index(self, now: float) -> int:
        while self.ends[-1] <= now:
            self.ends.append(self.ends[-1] + self._draw_change())
            self.factors.append(self._draw_factor())
        return bisect.bisect_right(self.ends, now)

    def _draw_change(self) -> float:
        return self.random.uniform(MIN_CHANGE_SECONDS, MAX_CHANGE_SECONDS)

    def _draw_factor(self) -> float:
        low, high = math.log(MIN_FACTOR), math.log(MAX_FACTOR)
        return math.exp(self.random.uniform(low, high))


@attrs.define(kw_only=True, eq=False)
class AgedLoads(LoadTable):
    """Samples that always have the same age."""

    speeds: dict[str, VaryingSpeed]
    age: float

    def sample(self, endpoint: Endpoint) -> LoadSample | None:
        """Return the state of an endpoint some time ago."""
        speed = self.speeds.get(endpoint.instance)
        if speed is None:
            return None
        at = anyio.current_time() - self.age
        return LoadSample(
            at=at,
            others=0,
            usual_others=0.0,
            duration_factor=speed.factor(at),
            usual_factor=MEAN_FACTOR,
        )


def load_of_factor(factor: float, *, running: int = 0) -> EndpointLoad:
    """Return the load of an endpoint with a speed."""
    return EndpointLoad(running=running, waiting=0, slots=1, duration_factor=factor)
