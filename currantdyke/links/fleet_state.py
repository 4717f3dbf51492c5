"""Encode and decode the messages about limits of endpoints and versions of streams."""

from typing import Any

from currantdyke.endpointlimits.messages import LimitReport, TokenGrant, TokenRequest
from currantdyke.streamversions.messages import (
    StreamVersions,
    VersionAnswer,
    VersionRequest,
)

__all__ = [
    "MAX_UINT32",
    "decode_limit",
    "decode_version",
    "encode_limit",
    "encode_version",
    "milliseconds",
]

MAX_UINT32 = 2**32 - 1


def milliseconds(seconds: float) -> int:
    """Return a duration as it is sent, which is never negative or infinite."""
    return max(0, int(min(MAX_UINT32, seconds * 1_000)))


def encode_limit(
    builder: Any, content: LimitReport | TokenRequest | TokenGrant
) -> None:
    """Encode a message about the limits of endpoints."""
    match content:
        case LimitReport():
            report = builder.init("limitReport")
            report.instance = content.instance
            report.born = content.born
            report.limited = content.rate is not None
            report.rate = content.rate or 0.0
            report.sentAgeMilliseconds = milliseconds(content.sent_age)
            report.ageMilliseconds = milliseconds(content.age)
        case TokenRequest():
            request = builder.init("tokenRequest")
            request.instance = content.instance
            request.service = content.service
            request.born = content.born
            request.rate = content.rate
            request.ageMilliseconds = milliseconds(content.age)
            request.sheddable = content.sheddable
            request.forwarded = content.forwarded
            # Less than a millisecond is not 0, which would state a named limit.
            cold_remaining = content.cold_remaining
            request.coldMilliseconds = milliseconds(cold_remaining + 0.000_999)
        case TokenGrant():
            grant = builder.init("tokenGrant")
            # A wait of less than a millisecond is no grant.
            grant.waitMilliseconds = milliseconds(content.wait + 0.000_999)
            grant.limited = content.limited
            grant.ageMilliseconds = milliseconds(content.age)


def decode_limit(reader: Any) -> LimitReport | TokenRequest | TokenGrant:
    """Decode a message about the limits of endpoints."""
    match str(reader.which()):
        case "limitReport":
            report = reader.limitReport
            return LimitReport(
                instance=report.instance,
                born=report.born,
                rate=report.rate if report.limited else None,
                sent_age=report.sentAgeMilliseconds / 1_000,
                age=report.ageMilliseconds / 1_000,
            )
        case "tokenRequest":
            request = reader.tokenRequest
            return TokenRequest(
                instance=request.instance,
                service=request.service,
                born=request.born,
                rate=request.rate,
                age=request.ageMilliseconds / 1_000,
                sheddable=request.sheddable,
                forwarded=request.forwarded,
                cold_remaining=request.coldMilliseconds / 1_000,
            )
        case _:
            grant = reader.tokenGrant
            return TokenGrant(
                wait=grant.waitMilliseconds / 1_000,
                limited=grant.limited,
                age=grant.ageMilliseconds / 1_000,
            )


def encode_version(
    builder: Any, content: StreamVersions | VersionRequest | VersionAnswer
) -> None:
    """Encode a message about the versions of streams."""
    match content:
        case StreamVersions():
            report = builder.init("streamVersions")
            report.versions = list(content.versions)
            report.digests = [digest for digest, _ in content.streams]
            report.numbers = [number for _, number in content.streams]
            if content.service:
                report.service = content.service
        case VersionRequest():
            request = builder.init("versionRequest")
            request.digest = content.digest
            request.service = content.service
        case VersionAnswer():
            answer = builder.init("versionAnswer")
            answer.known = content.known
            answer.withVersion = content.version is not None
            answer.version = content.version or ""
            answer.several = content.several


def decode_version(reader: Any) -> StreamVersions | VersionRequest | VersionAnswer:
    """Decode a message about the versions of streams."""
    match str(reader.which()):
        case "streamVersions":
            return _decode_stream_versions(reader.streamVersions)
        case "versionRequest":
            request = reader.versionRequest
            return VersionRequest(digest=request.digest, service=request.service)
        case _:
            answer = reader.versionAnswer
            return VersionAnswer(
                known=answer.known,
                version=answer.version if answer.withVersion else None,
                several=answer.several,
            )


def _decode_stream_versions(reader: Any) -> StreamVersions:
    versions = tuple(reader.versions)
    numbers = list(reader.numbers)
    if max(numbers, default=-1) >= len(versions):
        raise ValueError("a stream has a version without a name")
    streams = zip(reader.digests, numbers, strict=True)
    return StreamVersions(
        versions=versions, streams=tuple(streams), service=reader.service
    )
