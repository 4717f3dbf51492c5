"""Frames between daemons, to bytes and back, in packed Cap'n Proto."""

import pathlib
from typing import Any

import attrs
import capnp
from expression import Error, Ok, Result

from currantdyke.catalog import StageStep
from currantdyke.conductor.messages import (
    Placement,
    PlacementRequest,
    Progress,
    ProgressKind,
    Refusal,
)
from currantdyke.directory.replica import ChangeSet
from currantdyke.platform.requests import PromptPart
from currantdyke.platform.store import Change

__all__ = [
    "ANSWERS",
    "ChangesAsked",
    "Crashed",
    "Frame",
    "Ping",
    "Pong",
    "Unknown",
    "decode_frame",
    "encode_frame",
]

capnp.remove_import_hook()
SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("link.capnp")))

MAX_UINT32 = 2**32 - 1
MAX_UINT16 = 2**16 - 1


@attrs.frozen
class Ping:
    """Asks whether the peer is there."""


@attrs.frozen
class Pong:
    """Answers a ping."""


@attrs.frozen
class Unknown:
    """The answer where there is none."""


@attrs.frozen(kw_only=True)
class ChangesAsked:
    """Asks for the changes after a revision of the store."""

    revision: int


@attrs.frozen(kw_only=True)
class Crashed:
    """Reports that an endpoint crashed while it ran a request of this fingerprint."""

    fingerprint: str
    endpoint: str


Content = (
    Ping
    | Pong
    | Unknown
    | ChangesAsked
    | ChangeSet
    | PlacementRequest
    | Placement
    | Refusal
    | Progress
    | Crashed
)

# Contents that are answers; one that arrives too late is dropped.
ANSWERS = (Pong, Unknown, ChangeSet, Placement, Refusal)


@attrs.frozen(kw_only=True)
class Frame:
    """A message with the number that pairs an answer with its question.

    Examples
    --------
    >>> frame = Frame(number=7, content=ChangesAsked(revision=3))
    >>> decode_frame(encode_frame(frame)).ok == frame
    True
    """

    number: int
    content: Content


def encode_frame(frame: Frame) -> bytes:
    """Return a frame as bytes."""
    built = SCHEMA.Frame.new_message(number=frame.number)
    _write(built, frame.content)
    return built.to_bytes_packed()


def decode_frame(data: bytes) -> Result[Frame, str]:
    """Read what `encode_frame` wrote, or say what is wrong with it."""
    try:
        read = SCHEMA.Frame.from_bytes_packed(data)
        return Ok(Frame(number=read.number, content=_read(read)))
    except (capnp.KjException, KeyError, RuntimeError, ValueError) as error:
        return Error(f"{type(error).__name__}: {error!s:.100}")


def _milliseconds(seconds: float) -> int:
    return max(0, min(MAX_UINT32, int(seconds * 1_000)))


def _write(built: Any, content: Content) -> None:
    match content:
        case Ping():
            built.ping = None
        case Pong():
            built.pong = None
        case Unknown():
            built.unknown = None
        case ChangesAsked():
            built.changesAfter = content.revision
        case Crashed():
            crashed = built.init("crashed")
            crashed.fingerprint = content.fingerprint
            crashed.endpoint = content.endpoint
        case ChangeSet():
            _write_changes(built.init("changes"), content)
        case PlacementRequest():
            _write_place(built.init("place"), content)
        case Placement():
            placed = built.init("placed")
            placed.instance = content.instance
            placed.handles = list(content.handles or ())
            placed.withStages = content.handles is not None
        case Refusal():
            refused = built.init("refused")
            refused.code = content.code
            refused.detail = content.detail
            refused.retryAfterMilliseconds = _milliseconds(content.retry_after)
        case Progress():
            progress = built.init("progress")
            progress.attemptId = content.attempt_id
            progress.kind = content.kind.value


def _write_changes(built: Any, changes: ChangeSet) -> None:
    built.revision = changes.revision
    built.whole = changes.whole
    built.settling = changes.settling
    built.ageMilliseconds = _milliseconds(changes.age)
    items = built.init("items", len(changes.changes))
    for index, change in enumerate(changes.changes):
        items[index].key = change.key
        items[index].revision = change.revision
        items[index].removed = change.value is None
        if change.value is not None:
            items[index].value = change.value


def _write_place(built: Any, request: PlacementRequest) -> None:
    built.attemptId = request.attempt_id
    built.service = request.service
    built.stageKey = request.stage_key
    built.targetMilliseconds = _milliseconds(request.target)
    built.deadlineMilliseconds = _milliseconds(request.deadline)
    built.rank = max(0, min(MAX_UINT16, request.rank))
    built.promptTokens = min(MAX_UINT32, request.prompt_tokens)
    built.outputTokens = min(MAX_UINT32, request.output_tokens)
    built.availabilityZone = request.availability_zone
    built.excluded = list(request.excluded)
    built.again = request.again
    built.givesWay = request.gives_way
    steps = built.init("steps", len(request.steps))
    for index, step in enumerate(request.steps):
        steps[index].service = step.service
        steps[index].after = list(step.after)
        steps[index].resultBytes = step.result_bytes
        steps[index].pieces = request.pieces[index]
    parts = built.init("parts", len(request.parts))
    for index, part in enumerate(request.parts):
        parts[index].partId = part.part_id
        parts[index].tokens = part.tokens


def _read(read: Any) -> Content:
    match str(read.which()):
        case "ping":
            return Ping()
        case "pong":
            return Pong()
        case "changesAfter":
            return ChangesAsked(revision=read.changesAfter)
        case "crashed":
            crashed = read.crashed
            return Crashed(fingerprint=crashed.fingerprint, endpoint=crashed.endpoint)
        case "changes":
            return _read_changes(read.changes)
        case "place":
            return _read_place(read.place)
        case "placed":
            handles = tuple(read.placed.handles) if read.placed.withStages else None
            return Placement(instance=read.placed.instance, handles=handles)
        case "refused":
            return Refusal(
                code=read.refused.code,
                detail=read.refused.detail,
                retry_after=read.refused.retryAfterMilliseconds / 1_000,
            )
        case "progress":
            kind = ProgressKind(read.progress.kind)
            return Progress(attempt_id=read.progress.attemptId, kind=kind)
        case _:
            return Unknown()


def _read_changes(read: Any) -> ChangeSet:
    return ChangeSet(
        revision=read.revision,
        whole=read.whole,
        settling=read.settling,
        age=read.ageMilliseconds / 1000,
        changes=tuple(
            Change(
                key=item.key,
                value=None if item.removed else bytes(item.value),
                revision=item.revision,
            )
            for item in read.items
        ),
    )


def _read_place(read: Any) -> PlacementRequest:
    return PlacementRequest(
        attempt_id=read.attemptId,
        service=read.service,
        steps=tuple(
            StageStep(
                service=step.service,
                after=tuple(step.after),
                result_bytes=step.resultBytes,
            )
            for step in read.steps
        ),
        pieces=tuple(step.pieces for step in read.steps),
        stage_key=read.stageKey,
        target=read.targetMilliseconds / 1_000,
        deadline=read.deadlineMilliseconds / 1_000,
        rank=read.rank,
        prompt_tokens=read.promptTokens,
        output_tokens=read.outputTokens,
        parts=tuple(
            PromptPart(part_id=bytes(part.partId), tokens=part.tokens)
            for part in read.parts
        ),
        availability_zone=read.availabilityZone,
        excluded=tuple(read.excluded),
        again=read.again,
        gives_way=read.givesWay,
    )
