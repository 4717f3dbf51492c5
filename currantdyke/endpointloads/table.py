"""Samples of the loads of endpoints, by lifetime."""

import statistics
from collections.abc import Callable

import attrs

from currantdyke.catalog import Endpoint
from currantdyke.decisionlog import DecisionLog
from currantdyke.endpointloads.estimate import LoadSample, remaining_weight
from currantdyke.platform.answers import EndpointLoad, ResponseMetadata

__all__ = ["LoadTable"]

# Weight of the newest sample in the moving average of an endpoint's factor; it covers
# about 20 samples, of which several are independent of each other.
USUAL_SMOOTHING_FACTOR = 0.05
# What an endpoint's factor is taken to be before its first sample.
NORMAL_FACTOR = 1.0
# No sample counts as faster or slower than the usual speed by more than this, so that
# an endpoint with false figures neither attracts nor loses all work.
MAX_RELATIVE_FACTOR = 8.0


@attrs.define(kw_only=True)
class LoadRecord:
    """The latest sample of one lifetime of an endpoint.

    Attributes
    ----------
    samples : int
        Number of samples.
    unreadable : bool
        Whether an answer of this lifetime had an unreadable load.
    """

    born: int
    sample: LoadSample | None = None
    samples: int = 0
    unreadable: bool = False


@attrs.define(kw_only=True, eq=False)
class LoadTable:
    """The latest sample of each endpoint that states its load and its speed.

    Attributes
    ----------
    count_own : callable
        Returns the number of this daemon's requests at an endpoint, by instance.
    log : DecisionLog or None
        Gets a line for the first unreadable load of a lifetime.
    records : dict of str to LoadRecord
        By instance.
    unreadable : int
        Number of answers with an unreadable load.
    """

    count_own: Callable[[str], int] = lambda instance: 0
    log: DecisionLog | None = None
    records: dict[str, LoadRecord] = attrs.field(factory=dict)
    unreadable: int = 0

    def record_response(
        self, endpoint: Endpoint, facts: ResponseMetadata, now: float
    ) -> None:
        """Record the load in the head of an answer, if there is a usable one."""
        if facts.load is not None:
            self.record_load(endpoint, facts.load, now)
        elif facts.unreadable_load is not None:
            self.unreadable += 1
            record = self._current_record(endpoint)
            if record is not None and not record.unreadable:
                record.unreadable = True
                self._log_unreadable(endpoint, facts.unreadable_load)

    def record_load(self, endpoint: Endpoint, load: EndpointLoad, now: float) -> None:
        """Record a load; one without a speed has no effect."""
        if load.duration_factor is None:
            return
        record = self._current_record(endpoint)
        if record is None:
            return
        own = self.count_own(endpoint.instance)
        others = max(0, load.running + load.waiting - own)
        last = record.sample
        usual_others = float(others) if last is None else last.usual_others
        usual = NORMAL_FACTOR if last is None else last.usual_factor
        factor = max(load.duration_factor, usual / MAX_RELATIVE_FACTOR)
        factor = min(factor, usual * MAX_RELATIVE_FACTOR)
        record.samples += 1
        weight = max(USUAL_SMOOTHING_FACTOR, 1.0 / (record.samples + 1))
        record.sample = LoadSample(
            at=now,
            others=others,
            usual_others=usual_others + weight * (others - usual_others),
            duration_factor=factor,
            usual_factor=usual + weight * (factor - usual),
        )

    def sample(self, endpoint: Endpoint) -> LoadSample | None:
        """Return the latest sample of an endpoint's lifetime."""
        record = self._record(endpoint)
        return None if record is None else record.sample

    def states_speed(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether an endpoint's sample still has an effect."""
        sample = self.sample(endpoint)
        return sample is not None and remaining_weight(now - sample.at) > 0.0

    def forget(self, instance: str) -> None:
        """Remove an endpoint that is gone."""
        self.records.pop(instance, None)

    def count(self) -> int:
        """Return the number of endpoints with a sample."""
        return len(self._samples())

    def median_age(self, now: float) -> float:
        """Return the median age of the samples in seconds; 0 without samples."""
        ages = [now - sample.at for sample in self._samples()]
        return statistics.median(ages) if ages else 0.0

    def spread(self) -> float:
        """Return the highest factor in the samples relative to the lowest one."""
        factors = [sample.duration_factor for sample in self._samples()]
        return max(factors) / min(factors) if factors else 1.0

    def _log_unreadable(self, endpoint: Endpoint, text: str) -> None:
        if self.log is not None:
            self.log.write(
                "endpoint_load_unreadable",
                failure=True,
                endpoint=endpoint.instance,
                value=text,
                expected="running,waiting,slots[,percent of the normal duration]",
            )

    def _current_record(self, endpoint: Endpoint) -> LoadRecord | None:
        """Return the record of a lifetime; None if a later lifetime is known."""
        record = self.records.get(endpoint.instance)
        if record is None or record.born < endpoint.born:
            record = self.records[endpoint.instance] = LoadRecord(born=endpoint.born)
        return record if record.born == endpoint.born else None

    def _record(self, endpoint: Endpoint) -> LoadRecord | None:
        record = self.records.get(endpoint.instance)
        if record is None or record.born != endpoint.born:
            return None
        return record

    def _samples(self) -> list[LoadSample]:
        return [r.sample for r in self.records.values() if r.sample is not None]
