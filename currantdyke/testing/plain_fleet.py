"""Simulation of daemons that send plain requests to endpoints whose speed varies.

There is no network: each daemon chooses by its own health and load tables, as in
`forward/plain.py`, and time advances from event to event.
"""

import bisect
import heapq
import itertools
import math
import random
import statistics
from collections import deque
from collections.abc import Callable

import attrs

from currantdyke.catalog import Endpoint
from currantdyke.endpointloads.estimate import LoadSample
from currantdyke.endpointloads.table import LoadTable
from currantdyke.forward.choose import choose_endpoint
from currantdyke.forward.health import HealthTable
from currantdyke.platform.answers import EndpointLoad
from currantdyke.testing.speeds import MEAN_FACTOR, VaryingSpeed

__all__ = ["PlainFigures", "PlainFleet"]

NETWORK_SECONDS = 0.001
# Normal duration of a request, spread evenly by half of it to either side.
NORMAL_SECONDS = 0.05
HERD_WINDOW_SECONDS = 0.1
# Windows with fewer requests than this have a large share by chance.
MIN_WINDOW_REQUESTS = 20


@attrs.define(kw_only=True)
class PlainFigures:
    """Times of the requests, and where they went.

    Attributes
    ----------
    seconds : list of float
        From the arrival of each request to its answer.
    sent : dict of int to dict of str to int
        Requests by window of 100 ms and by endpoint.
    """

    seconds: list[float] = attrs.field(factory=list)
    sent: dict[int, dict[str, int]] = attrs.field(factory=dict)

    def share_within(self, seconds: float) -> float:
        """Return the share of requests that were answered within a time."""
        return sum(s <= seconds for s in self.seconds) / len(self.seconds)

    def window_shares(self) -> list[float]:
        """Return the largest share of one endpoint in each window, in order."""
        counts = (window.values() for window in self.sent.values())
        return sorted(
            max(window) / sum(window)
            for window in counts
            if sum(window) >= MIN_WINDOW_REQUESTS
        )


class History:
    """A number that changes at times in ascending order."""

    def __init__(self):
        self.times = [-math.inf]
        self.values = [0]

    def add(self, now: float, change: int) -> None:
        """Add a change."""
        self.times.append(now)
        self.values.append(self.values[-1] + change)

    def at(self, at: float) -> int:
        """Return the number at a time."""
        return self.values[bisect.bisect_right(self.times, at) - 1]


@attrs.define(kw_only=True, eq=False)
class PlainEndpoint:
    """An endpoint with some slots and a queue without a limit."""

    endpoint: Endpoint
    speed: VaryingSpeed
    running: int = 0
    waiting: deque = attrs.field(factory=deque)
    history: "History" = attrs.field(factory=lambda: History())
    own: dict[int, "History"] = attrs.field(factory=dict)

    def others_at(self, daemon: int, at: float) -> int:
        """Return the requests of other daemons that ran or waited at a time."""
        own = self.own.get(daemon)
        return self.history.at(at) - (0 if own is None else own.at(at))

    def record(self, now: float, daemon: int, change: int) -> None:
        """Record that a request has come, or has ended."""
        self.history.add(now, change)
        self.own.setdefault(daemon, History()).add(now, change)

    def load(self, now: float) -> EndpointLoad:
        """Return the load as the endpoint states it in the head of an answer."""
        return EndpointLoad(
            running=self.running,
            waiting=len(self.waiting),
            slots=self.endpoint.slots,
            duration_factor=self.speed.factor(now),
        )


@attrs.define(kw_only=True, eq=False)
class AgedPlainLoads(LoadTable):
    """Samples that always have the same age."""

    fleet: "PlainFleet"
    daemon: int
    age: float

    def sample(self, endpoint: Endpoint) -> LoadSample | None:
        """Return the state of an endpoint some time ago."""
        states = self.fleet.endpoints
        at = self.fleet.now - self.age
        others = {name: s.others_at(self.daemon, at) for name, s in states.items()}
        return LoadSample(
            at=at,
            others=others[endpoint.instance],
            usual_others=statistics.mean(others.values()),
            duration_factor=states[endpoint.instance].speed.factor(at),
            usual_factor=MEAN_FACTOR,
        )


class PlainFleet:
    """Daemons and endpoints in three availability zones.

    Parameters
    ----------
    rate : float
        Requests per second of all daemons together.
    states_load : bool
        Whether answers state the load of the endpoint.
    sample_age : float, optional
        Age of the samples by which all decisions are made, instead of those of answers.
    """

    def __init__(
        self,
        *,
        daemons: int,
        rate: float,
        slots: int = 24,
        seed: int,
        states_load: bool = True,
        sample_age: float | None = None,
        choose: Callable[..., Endpoint | None] = choose_endpoint,
    ):
        self.random = random.Random(seed)
        self.now = 0.0
        self.rate = rate
        self.ends_at = 0.0
        self.states_load = states_load
        self.choose = choose
        self.figures = PlainFigures()
        self.events: list[tuple] = []
        self.order = itertools.count()
        self.endpoints = {}
        for number in range(3):
            endpoint = Endpoint(
                instance=f"i-{number}",
                service="plain",
                address=f"10.0.0.{number}:80",
                availability_zone=f"zone-{number}",
                slots=slots,
            )
            self.endpoints[endpoint.instance] = PlainEndpoint(
                endpoint=endpoint, speed=VaryingSpeed(seed=self.random.getrandbits(32))
            )
        self.health = [HealthTable() for _ in range(daemons)]
        self.loads = [
            LoadTable(count_own=health.count_in_flight)
            if sample_age is None
            else AgedPlainLoads(fleet=self, daemon=number, age=sample_age)
            for number, health in enumerate(self.health)
        ]

    def run(self, seconds: float) -> PlainFigures:
        """Generate requests for a time."""
        self.ends_at = seconds
        self._at(self.random.expovariate(self.rate), self._arrive)
        while self.events:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self.figures

    def _at(self, delay: float, action: Callable[..., None], *arguments) -> None:
        event = (self.now + delay, next(self.order), action, arguments)
        heapq.heappush(self.events, event)

    def _arrive(self) -> None:
        if self.now >= self.ends_at:
            return
        self._at(self.random.expovariate(self.rate), self._arrive)
        daemon = self.random.randrange(len(self.health))
        endpoint = self.choose(
            [state.endpoint for state in self.endpoints.values()],
            health=self.health[daemon],
            availability_zone=f"zone-{daemon % 3}",
            excluded=(),
            now=self.now,
            random_source=self.random,
            loads=self.loads[daemon],
        )
        assert endpoint is not None
        window = self.figures.sent.setdefault(int(self.now / HERD_WINDOW_SECONDS), {})
        window[endpoint.instance] = window.get(endpoint.instance, 0) + 1
        self.health[daemon].of(endpoint.instance).in_flight += 1
        state = self.endpoints[endpoint.instance]
        self._at(NETWORK_SECONDS, self._receive, state, daemon, self.now)

    def _receive(self, state: PlainEndpoint, daemon: int, sent_at: float) -> None:
        state.waiting.append((daemon, sent_at))
        self._start_waiting(state)
        state.record(self.now, daemon, 1)

    def _start_waiting(self, state: PlainEndpoint) -> None:
        while state.waiting and state.running < state.endpoint.slots:
            state.running += 1
            normal = NORMAL_SECONDS * self.random.uniform(0.5, 1.5)
            duration = state.speed.duration(self.now, normal)
            self._at(duration, self._finish, state, *state.waiting.popleft())

    def _finish(self, state: PlainEndpoint, daemon: int, sent_at: float) -> None:
        state.running -= 1
        self._start_waiting(state)
        state.record(self.now, daemon, -1)
        load = state.load(self.now) if self.states_load else None
        self._at(NETWORK_SECONDS, self._answer, state, daemon, sent_at, load)

    def _answer(
        self,
        state: PlainEndpoint,
        daemon: int,
        sent_at: float,
        load: EndpointLoad | None,
    ) -> None:
        health = self.health[daemon].of(state.endpoint.instance)
        health.in_flight -= 1
        health.record_success(self.now - sent_at, self.now)
        if load is not None:
            self.loads[daemon].record_load(state.endpoint, load, self.now)
        self.figures.seconds.append(self.now - sent_at)
