"""Objects shared by all request runs of a daemon."""

import random
from collections.abc import Iterator

import attrs

from currantdyke.endpoints import EndpointLiveness, EndpointTable
from currantdyke.events import Timeline
from currantdyke.metrics import Metrics
from currantdyke.pipelines.decisions import Decisions
from currantdyke.quarantine import SuspectIsolation
from currantdyke.requests import KeyTable
from currantdyke.stagecalls import StageCaller

__all__ = ["RunContext"]


@attrs.define(kw_only=True, eq=False)
class RunContext:
    """The shared objects that a request run needs."""

    call_stage: StageCaller
    decisions: Decisions
    keys: KeyTable
    endpoints: EndpointTable
    liveness: EndpointLiveness
    isolation: SuspectIsolation
    metrics: Metrics
    timeline: Timeline
    random_source: random.Random
    attempt_ids: Iterator[str]
