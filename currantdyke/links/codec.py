"""Encode and decode frames between daemons, in packed Cap'n Proto."""

import pathlib
from typing import Any

import attrs
import capnp
from expression import Error, Ok, Result

from currantdyke.catalog import StageStep
from currantdyke.core import Position
from currantdyke.directory.endpoints import GRACE_PERIOD_SECONDS
from currantdyke.directory.newest import NewestConfiguration
from currantdyke.directory.replica import ChangeSet
from currantdyke.endpointlimits.messages import LimitReport, TokenGrant, TokenRequest
from currantdyke.endpointslots.messages import (
    ServiceFragile,
    SlotGrant,
    SlotRelease,
    SlotRequest,
)
from currantdyke.endpointstates.messages import EndpointLeaving, EndpointPaused
from currantdyke.largevalues.messages import PartRequest, ValueOffer, ValuePart
from currantdyke.links.compression import compress, decompress
from currantdyke.links.endpoint_state import (
    decode_endpoint_state,
    encode_endpoint_state,
)
from currantdyke.links.fleet_state import (
    MAX_UINT32,
    decode_limit,
    decode_version,
    encode_limit,
    encode_version,
    milliseconds,
)
from currantdyke.platform.requests import PromptPart
from currantdyke.platform.store import Change
from currantdyke.scheduler.messages import (
    Placement,
    PlacementRequest,
    Progress,
    ProgressKind,
    Refusal,
)
from currantdyke.streamversions.messages import (
    StreamVersions,
    VersionAnswer,
    VersionRequest,
)
from currantdyke.tunnels.messages import TunnelAnswer, TunnelRequest, TunnelResult

__all__ = [
    "LEAVING_PROTOCOL",
    "LIMITS_PROTOCOL",
    "MAX_FRAME_BYTES",
    "PROTOCOL",
    "RESPONSE_TYPES",
    "SLOTS_PROTOCOL",
    "TUNNELS_PROTOCOL",
    "ChangesRequest",
    "CrashReport",
    "Frame",
    "GroupCondemned",
    "KeysCleared",
    "Ping",
    "Pong",
    "Unknown",
    "decode_frame",
    "encode_frame",
]

capnp.remove_import_hook()
SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("link.capnp")))

# Raised with each type of content that daemons of an earlier build don't know, and the
# one from which on they know the limits of endpoints and the versions of streams,
PROTOCOL = 3
LIMITS_PROTOCOL = 1
# which endpoints say that they are leaving,
LEAVING_PROTOCOL = 2
# and tunnels to endpoints and the slots of fragile ones.
TUNNELS_PROTOCOL = 3
SLOTS_PROTOCOL = 3
MAX_UINT16 = 2**16 - 1
MAX_UINT64 = 2**64 - 1
# Holds all items of a large fleet: 4,200 endpoints of 400 bytes and the configuration.
# Limits also what the compressed values of a frame take after decompression.
MAX_FRAME_BYTES = 8_000_000
# Smaller values are sent as they are; compression would gain little.
MIN_COMPRESSED_BYTES = 1_024


@attrs.frozen
class Ping:
    """Asks whether the peer is alive."""


@attrs.frozen
class Pong:
    """Response to a ping."""


@attrs.frozen
class Unknown:
    """Response of a daemon that did not handle the request, or failed to.

    Content of an unknown type is also decoded as this.
    """


@attrs.frozen(kw_only=True)
class ChangesRequest:
    """Requests the changes after a position in the history of the store.

    Attributes
    ----------
    accepts_compressed : bool
        Whether large values of the response may be compressed.
    accepts_offers : bool
        Whether the response may contain offers of large values.
    bases : tuple of bytes
        Digests of the large values that the sender has.
    configuration_after : Position or None
        The response is to contain the configuration if it was written after this
        position, also if it was written before the other one.
    """

    revision: int
    accepts_compressed: bool = False
    accepts_offers: bool = False
    bases: tuple[bytes, ...] = ()
    era: int = 0
    configuration_after: Position | None = None

    @property
    def position(self) -> Position:
        """The position after which changes are requested."""
        return Position(self.era, self.revision)


@attrs.frozen(kw_only=True)
class CrashReport:
    """Reports a run that was lost as an endpoint crashed.

    Attributes
    ----------
    fingerprint : str
        Hash of the request, the only key that daemons of an earlier build know.
    born : int
        Start of the lifetime of the endpoint that ended.
    keys : tuple of str
        All keys of the request; empty in reports of an earlier build.
    age, sent_age : float
        Seconds since the crash, and since the request was sent.
    begun_age : float
        Seconds since the first data of its answer; 0 if there was none.
    """

    fingerprint: str
    endpoint: str
    born: int = 0
    keys: tuple[str, ...] = ()
    age: float = 0.0
    sent_age: float = 0.0
    begun_age: float = 0.0


@attrs.frozen(kw_only=True)
class KeysCleared:
    """Reports keys with which an answer began and its endpoint lives on.

    Attributes
    ----------
    age : float
        Seconds since the answer began.
    complete : bool
        Whether the whole answer has arrived; an earlier build does not say so.
    """

    keys: tuple[str, ...]
    age: float = 0.0
    complete: bool = False


@attrs.frozen(kw_only=True)
class GroupCondemned:
    """Reports that requests with all of some keys are refused for ``seconds``."""

    keys: tuple[str, ...]
    seconds: float
    crashes: int = 0


Content = (
    Ping
    | Pong
    | Unknown
    | ChangesRequest
    | ChangeSet
    | PlacementRequest
    | Placement
    | Refusal
    | Progress
    | CrashReport
    | KeysCleared
    | GroupCondemned
    | LimitReport
    | TokenRequest
    | TokenGrant
    | StreamVersions
    | VersionRequest
    | VersionAnswer
    | PartRequest
    | ValuePart
    | EndpointLeaving
    | EndpointPaused
    | ServiceFragile
    | SlotRequest
    | SlotGrant
    | SlotRelease
    | TunnelRequest
    | TunnelAnswer
)

# Types of content that are responses; a response that arrives too late is dropped.
RESPONSE_TYPES = (
    Pong,
    Unknown,
    ChangeSet,
    Placement,
    Refusal,
    TokenGrant,
    VersionAnswer,
    ValuePart,
    SlotGrant,
)


@attrs.frozen(kw_only=True)
class Frame:
    """A message with the number that pairs a response with its request.

    Examples
    --------
    >>> frame = Frame(number=7, content=ChangesRequest(revision=3))
    >>> decode_frame(encode_frame(frame)).ok == frame
    True
    """

    number: int
    content: Content


def encode_frame(frame: Frame, *, compressed: bool = False) -> bytes:
    """Encode a frame.

    Parameters
    ----------
    compressed : bool
        Whether large values of changes are compressed.
    """
    builder = SCHEMA.Frame.new_message(number=frame.number)
    if isinstance(frame.content, ChangeSet):
        _encode_changes(builder.init("changes"), frame.content, compressed)
    else:
        _encode_content(builder, frame.content)
    return builder.to_bytes_packed()


def decode_frame(data: bytes) -> Result[Frame, str]:
    """Decode a frame from the output of `encode_frame`, or return an error text."""
    try:
        reader = SCHEMA.Frame.from_bytes_packed(data)
        return Ok(Frame(number=reader.number, content=_decode_content(reader)))
    except (capnp.KjException, KeyError, RuntimeError, ValueError) as error:
        return Error(f"{type(error).__name__}: {error!s:.100}")


def _encode_content(builder: Any, content: Content) -> None:
    match content:
        case Ping():
            builder.ping = None
        case Pong():
            builder.pong = None
        case Unknown():
            builder.unknown = None
        case ChangesRequest():
            builder.changesAfter = content.revision
            builder.changesAfterEra = content.era
            builder.acceptsCompressed = content.accepts_compressed
            builder.acceptsOffers = content.accepts_offers
            builder.bases = list(content.bases)
            if content.configuration_after is not None:
                after = builder.init("configurationAfter")
                after.era = content.configuration_after.era
                after.revision = content.configuration_after.revision
        case CrashReport() | KeysCleared() | GroupCondemned():
            _encode_crashed(builder.init("crashed"), content)
        case PlacementRequest():
            _encode_placement_request(builder.init("place"), content)
        case Placement():
            placed = builder.init("placed")
            placed.instance = content.instance
            placed.handles = list(content.handles or ())
            placed.withStages = content.handles is not None
            placed.granted = content.rate_limit is not None
            placed.rateLimit = content.rate_limit or 0.0
            placed.hasSlot = content.has_slot
        case Refusal():
            refused = builder.init("refused")
            refused.code = content.code
            refused.detail = content.detail
            refused.retryAfterMilliseconds = milliseconds(content.retry_after)
        case Progress():
            progress = builder.init("progress")
            progress.attemptId = content.attempt_id
            progress.kind = content.kind.value
            progress.instance = content.instance
            progress.keepsResults = content.keeps_results
        case LimitReport() | TokenRequest() | TokenGrant():
            encode_limit(builder, content)
        case StreamVersions() | VersionRequest() | VersionAnswer():
            encode_version(builder, content)
        case PartRequest():
            request = builder.init("partRequest")
            request.digest = content.digest
            request.base = content.base
            request.encodedDigest = content.encoded_digest
            request.start = content.start
        case ValuePart():
            builder.part = content.data
        case EndpointLeaving() | EndpointPaused() | ServiceFragile():
            encode_endpoint_state(builder, content)
        case SlotRequest() | SlotGrant() | SlotRelease():
            encode_endpoint_state(builder, content)
        case TunnelRequest():
            tunnel = builder.init("tunnelRequest")
            tunnel.instance = content.instance
            tunnel.born = content.born
        case TunnelAnswer():
            builder.tunnelAnswer = content.result.value


def _encode_crashed(
    builder: Any, content: CrashReport | KeysCleared | GroupCondemned
) -> None:
    builder.keys = list(content.keys)
    match content:
        case CrashReport():
            builder.kind = "lostRun"
            builder.fingerprint = content.fingerprint
            builder.endpoint = content.endpoint
            builder.born = content.born
            builder.ageMilliseconds = milliseconds(content.age)
            builder.sentAgeMilliseconds = milliseconds(content.sent_age)
            builder.begunAgeMilliseconds = milliseconds(content.begun_age)
        case KeysCleared():
            builder.kind = "cleared"
            builder.ageMilliseconds = milliseconds(content.age)
            builder.complete = content.complete
        case GroupCondemned():
            builder.kind = "condemned"
            builder.leftMilliseconds = milliseconds(content.seconds)
            builder.crashes = min(MAX_UINT32, content.crashes)


def _encode_changes(builder: Any, changes: ChangeSet, compressed: bool) -> None:
    builder.revision = changes.revision
    builder.era = changes.era
    builder.whole = changes.is_snapshot
    builder.settling = changes.grace_period > 0.0
    builder.settlingMilliseconds = milliseconds(changes.grace_period)
    builder.ageMilliseconds = milliseconds(changes.age)
    builder.newestAwaited = not changes.has_heard
    if changes.newest is not None:
        builder.newestTold = True
        builder.newestEra = changes.newest.position.era
        builder.newestRevision = changes.newest.position.revision
        builder.newestVersion = max(0, min(MAX_UINT64, changes.newest.version))
    items = builder.init("items", len(changes.changes))
    for index, change in enumerate(changes.changes):
        items[index].key = change.key
        items[index].revision = change.revision
        items[index].removed = change.value is None
        if change.value is not None:
            _encode_value(items[index], change.value, compressed)
    offers = builder.init("offers", len(changes.offers))
    for index, offer in enumerate(changes.offers):
        offers[index].key = offer.key
        offers[index].revision = offer.revision
        offers[index].digest = offer.digest
        offers[index].size = offer.size
        offers[index].base = offer.base
        offers[index].encodedDigest = offer.encoded_digest
        offers[index].encodedSize = offer.encoded_size
        offers[index].data = offer.data

    eras = {change.era for change in changes.changes}
    eras |= {offer.era for offer in changes.offers}
    if eras - {changes.era}:
        builder.mixedEras = True
        for index, change in enumerate(changes.changes):
            items[index].erasBefore = max(0, changes.era - change.era)
        for index, offer in enumerate(changes.offers):
            offers[index].erasBefore = max(0, changes.era - offer.era)


def _encode_value(item: Any, value: bytes, compressed: bool) -> None:
    if compressed and len(value) >= MIN_COMPRESSED_BYTES:
        data = compress(value)
        if len(data) < len(value):
            item.value = data
            item.uncompressedBytes = len(value)
            return
    item.value = value


def _encode_placement_request(builder: Any, request: PlacementRequest) -> None:
    builder.attemptId = request.attempt_id
    builder.service = request.service
    builder.stageKey = request.stage_key
    builder.targetMilliseconds = milliseconds(request.target)
    builder.deadlineMilliseconds = milliseconds(request.deadline)
    builder.rank = max(0, min(MAX_UINT16, request.rank))
    builder.promptTokens = min(MAX_UINT32, request.prompt_tokens)
    builder.outputTokens = min(MAX_UINT32, request.output_tokens)
    builder.availabilityZone = request.availability_zone
    builder.excluded = list(request.excluded)
    builder.again = request.is_retry
    builder.givesWay = request.sheddable
    builder.withVersion = request.version is not None
    builder.version = request.version or ""
    steps = builder.init("steps", len(request.steps))
    for index, step in enumerate(request.steps):
        steps[index].service = step.service
        steps[index].after = list(step.after)
        steps[index].resultBytes = step.result_bytes
        steps[index].pieces = request.pieces[index]
    parts = builder.init("parts", len(request.parts))
    for index, part in enumerate(request.parts):
        parts[index].partId = part.part_id
        parts[index].tokens = part.tokens


def _decode_content(reader: Any) -> Content:
    match str(reader.which()):
        case "ping":
            return Ping()
        case "pong":
            return Pong()
        case "changesAfter":
            return ChangesRequest(
                revision=reader.changesAfter,
                era=reader.changesAfterEra,
                accepts_compressed=reader.acceptsCompressed,
                accepts_offers=reader.acceptsOffers,
                bases=tuple(map(bytes, reader.bases)),
                configuration_after=(
                    Position(
                        reader.configurationAfter.era,
                        reader.configurationAfter.revision,
                    )
                    if reader._has("configurationAfter")
                    else None
                ),
            )
        case "crashed":
            return _decode_crashed(reader.crashed)
        case "changes":
            return _decode_changes(reader.changes)
        case "place":
            return _decode_placement_request(reader.place)
        case "placed":
            placed = reader.placed
            return Placement(
                instance=placed.instance,
                handles=tuple(placed.handles) if placed.withStages else None,
                rate_limit=placed.rateLimit if placed.granted else None,
                has_slot=placed.hasSlot,
            )
        case "refused":
            return Refusal(
                code=reader.refused.code,
                detail=reader.refused.detail,
                retry_after=reader.refused.retryAfterMilliseconds / 1_000,
            )
        case "progress":
            return Progress(
                attempt_id=reader.progress.attemptId,
                kind=ProgressKind(reader.progress.kind),
                instance=reader.progress.instance,
                keeps_results=reader.progress.keepsResults,
            )
        case "limitReport" | "tokenRequest" | "tokenGrant":
            return decode_limit(reader)
        case "streamVersions" | "versionRequest" | "versionAnswer":
            return decode_version(reader)
        case "partRequest":
            request = reader.partRequest
            return PartRequest(
                digest=bytes(request.digest),
                base=bytes(request.base),
                encoded_digest=bytes(request.encodedDigest),
                start=request.start,
            )
        case "part":
            return ValuePart(data=bytes(reader.part))
        case "endpointLeaving" | "endpointPaused" | "serviceFragile":
            return decode_endpoint_state(reader)
        case "slotRequest" | "slotGrant" | "slotRelease":
            return decode_endpoint_state(reader)
        case "tunnelRequest":
            tunnel = reader.tunnelRequest
            return TunnelRequest(instance=tunnel.instance, born=tunnel.born)
        case "tunnelAnswer":
            return TunnelAnswer(result=TunnelResult(reader.tunnelAnswer))
        case _:
            return Unknown()


def _decode_crashed(reader: Any) -> Content:
    keys = tuple(reader.keys)
    match str(reader.kind):
        case "lostRun":
            return CrashReport(
                fingerprint=reader.fingerprint,
                endpoint=reader.endpoint,
                born=reader.born,
                keys=keys,
                age=reader.ageMilliseconds / 1_000,
                sent_age=reader.sentAgeMilliseconds / 1_000,
                begun_age=reader.begunAgeMilliseconds / 1_000,
            )
        case "cleared":
            return KeysCleared(
                keys=keys,
                age=reader.ageMilliseconds / 1_000,
                complete=reader.complete,
            )
        case "condemned":
            return GroupCondemned(
                keys=keys,
                seconds=reader.leftMilliseconds / 1_000,
                crashes=reader.crashes,
            )
        case _:
            return Unknown()


def _decode_changes(reader: Any) -> ChangeSet:
    size = sum(item.uncompressedBytes for item in reader.items)
    if size > MAX_FRAME_BYTES:
        raise ValueError(f"the values of a frame take {size} bytes")
    era, mixed = reader.era, reader.mixedEras
    return ChangeSet(
        revision=reader.revision,
        era=era,
        is_snapshot=reader.whole,
        grace_period=_decode_grace_period(reader),
        age=reader.ageMilliseconds / 1000,
        newest=_decode_newest(reader),
        has_heard=not reader.newestAwaited,
        changes=tuple(
            Change(
                key=item.key,
                value=None if item.removed else _decode_value(item),
                revision=item.revision,
                era=max(0, era - item.erasBefore) if mixed else era,
            )
            for item in reader.items
        ),
        offers=tuple(_decode_offer(offer, era) for offer in reader.offers),
    )


def _decode_newest(reader: Any) -> NewestConfiguration | None:
    if not reader.newestTold:
        return None
    return NewestConfiguration(
        position=Position(reader.newestEra, reader.newestRevision),
        version=reader.newestVersion,
    )


def _decode_offer(reader: Any, era: int) -> ValueOffer:
    return ValueOffer(
        key=reader.key,
        revision=reader.revision,
        era=max(0, era - reader.erasBefore),
        digest=bytes(reader.digest),
        size=reader.size,
        base=bytes(reader.base),
        encoded_digest=bytes(reader.encodedDigest),
        encoded_size=reader.encodedSize,
        data=bytes(reader.data),
    )


def _decode_grace_period(reader: Any) -> float:
    # An older daemon does not send how much of it is left.
    if reader.settling and not reader.settlingMilliseconds:
        return GRACE_PERIOD_SECONDS
    return reader.settlingMilliseconds / 1_000


def _decode_value(item: Any) -> bytes:
    value = bytes(item.value)
    size = item.uncompressedBytes
    return decompress(value, size) if size else value


def _decode_placement_request(reader: Any) -> PlacementRequest:
    return PlacementRequest(
        attempt_id=reader.attemptId,
        service=reader.service,
        steps=tuple(
            StageStep(
                service=step.service,
                after=tuple(step.after),
                result_bytes=step.resultBytes,
            )
            for step in reader.steps
        ),
        pieces=tuple(step.pieces for step in reader.steps),
        stage_key=reader.stageKey,
        target=reader.targetMilliseconds / 1_000,
        deadline=reader.deadlineMilliseconds / 1_000,
        rank=reader.rank,
        prompt_tokens=reader.promptTokens,
        output_tokens=reader.outputTokens,
        parts=tuple(
            PromptPart(part_id=bytes(part.partId), tokens=part.tokens)
            for part in reader.parts
        ),
        availability_zone=reader.availabilityZone,
        excluded=tuple(reader.excluded),
        is_retry=reader.again,
        sheddable=reader.givesWay,
        version=reader.version if reader.withVersion else None,
    )
