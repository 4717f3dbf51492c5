"""Engines of several versions, and streams that their callers take up."""

import anyio
import attrs

from currantdyke.emulator import AnswerPlan, CallerAnswer, EngineEmulator
from currantdyke.emulator.answers import Ending
from currantdyke.soak.versions import EVENTS, StreamRecord, read_stream, versions_of

__all__ = [
    "ResumedStream",
    "begin",
    "break_off_new",
    "count_joined",
    "start_versions",
    "resume",
]

CONCURRENT_STREAMS = 4


@attrs.define(kw_only=True)
class ResumedStream:
    """A stream of a test.

    Attributes
    ----------
    attempt_id : str
        The attempt that brought its first event.
    answers : list of CallerAnswer or None
        Of all tries.
    """

    attempt_id: str
    record: StreamRecord = attrs.field(factory=StreamRecord)
    answers: list[CallerAnswer | None] = attrs.field(factory=list)

    @property
    def complete(self) -> bool:
        """Whether all events have arrived."""
        return self.record.last_id == EVENTS


def break_off_new(request) -> AnswerPlan:
    """Plan an answer that breaks off after two events unless it was resumed."""
    if "last-event-id" in request.headers:
        return AnswerPlan()
    return AnswerPlan(break_after=2, ending=Ending.RESET)


async def start_versions(deployment, *versions: str, **settings) -> list:
    """Start an engine of each version; its events name it."""
    return [
        await deployment.endpoint(
            EngineEmulator,
            f"engine-{len(deployment.store.items)}-{number}",
            "engine",
            version=version,
            marks_events=True,
            events=EVENTS,
            event_seconds=0.03,
            **settings,
        )
        for number, version in enumerate(versions)
    ]


async def begin(
    deployment, count: int, *, gateways: list[int], events: int = 2
) -> list[ResumedStream]:
    """Begin streams and close them after some events, a few at a time."""
    streams = [ResumedStream(attempt_id=f"b{number}") for number in range(count)]
    await _read_all(deployment, streams, gateways=gateways, events=events)
    return streams


async def resume(
    deployment, streams: list[ResumedStream], *, gateways: list[int], events=EVENTS
) -> None:
    """Resume streams, each by an attempt of its own, a few at a time."""
    await _read_all(deployment, streams, gateways=gateways, events=events)


async def _read_all(deployment, streams, *, gateways, events) -> None:
    limiter = anyio.CapacityLimiter(CONCURRENT_STREAMS)

    async def read(number: int, stream: ResumedStream) -> None:
        gateway = deployment.gateways[gateways[number % len(gateways)]]
        tries = len(stream.answers)
        async with limiter:
            answer = await read_stream(
                gateway.settings.caller_address,
                stream.attempt_id + "-again" * tries,
                count=events,
                last_id=stream.record.last_id,
                resumes=stream.attempt_id if tries else "",
                prompt=f"{number:x}",
            )
        stream.answers.append(answer)
        if answer is not None and answer.status == 200:
            stream.record.body += answer.body

    async with anyio.create_task_group() as tasks:
        for number, stream in enumerate(streams):
            tasks.start_soon(read, number, stream)


def count_joined(streams: list[ResumedStream]) -> int:
    """Return how many streams hold events of two versions."""
    return sum(len(versions_of(stream.record.body)) > 1 for stream in streams)
