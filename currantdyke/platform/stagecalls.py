"""Encode and decode calls to the endpoints of a stage service."""

import enum
import re

import attrs
import msgspec

from currantdyke.platform.configuration import DECODE_ERRORS

__all__ = [
    "FREE_TARGET",
    "PieceCall",
    "PieceFailure",
    "PieceResult",
    "RUN_TARGET",
    "decode_results",
    "encode_free",
    "encode_pieces",
    "has_results",
]

RUN_TARGET = b"/api/stage-run"
FREE_TARGET = b"/api/stage-free"
# Handles are sent to engines in one header, separated by commas.
HANDLE_PATTERN = re.compile(r"[!-+\--~]{1,500}")


class PieceFailure(enum.Enum):
    """Why an endpoint returned no result for a piece.

    `LATE`: it was too late. `INPUT_GONE`: the result of a preceding stage is gone.
    `NO_ROOM`: no memory for the result. `ERROR`: any other reason.
    """

    LATE = "late"
    INPUT_GONE = "gone"
    NO_ROOM = "room"
    ERROR = "error"


@attrs.frozen(kw_only=True)
class PieceCall:
    """An entry of a call: one piece of a stage's work.

    Attributes
    ----------
    attempt_id : str
        Attempt id of the request.
    stage, index : int
        Index of the stage, and of the piece within it.
    key : str or None
        Key of the input of a stage without predecessors; None for other stages.
    inputs : tuple of str
        Handles of all results of the preceding stages.
    remaining : float
        Seconds within which the result is useful.
    """

    attempt_id: str
    stage: int
    index: int
    key: str | None
    inputs: tuple[str, ...]
    remaining: float


@attrs.frozen(kw_only=True)
class PieceResult:
    """The handle of a result, or the reason why there is none."""

    handle: str | None = None
    failure: PieceFailure | None = None


def encode_pieces(pieces: list[PieceCall]) -> bytes:
    """Encode the body of a call that runs pieces."""
    entries = []
    for piece in pieces:
        entry: dict = {
            "id": piece.attempt_id,
            "stage": piece.stage,
            "segment": piece.index,
            "remaining_ms": max(1, int(piece.remaining * 1_000)),
        }
        if piece.key is not None:
            entry["key"] = piece.key
        else:
            entry["inputs"] = list(piece.inputs)
        entries.append(entry)
    return msgspec.json.encode({"entries": entries})


def decode_results(body: bytes, count: int) -> list[PieceResult] | None:
    """Decode the results, in the order of the call; None if the body is malformed."""
    try:
        entries = msgspec.json.decode(body)["entries"]
        if len(entries) != count:
            return None
        return [_decode_result(entry) for entry in entries]
    except DECODE_ERRORS:
        return None


def has_results(body: bytes) -> bool:
    """Return whether a body may be that of an answer to a call that runs pieces."""
    return b'"entries"' in body


def _decode_result(entry: dict) -> PieceResult:
    handle = entry.get("handle")
    if isinstance(handle, str) and HANDLE_PATTERN.fullmatch(handle):
        return PieceResult(handle=handle)
    try:
        return PieceResult(failure=PieceFailure(entry.get("reason")))
    except ValueError:
        return PieceResult(failure=PieceFailure.ERROR)


def encode_free(handles: list[str]) -> bytes:
    """Encode the body of a call that releases results."""
    return msgspec.json.encode({"handles": handles})
