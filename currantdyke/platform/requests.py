"""Decode the headers of callers' requests, and encode those sent to endpoints."""

import re

import attrs
import h11

from currantdyke.http1 import BadRequestError, one_value

__all__ = [
    "EndpointHeaderValues",
    "PromptPart",
    "RequestMetadata",
    "endpoint_headers",
    "lifetime_request",
    "decode_request_metadata",
]

ATTEMPT_ID = b"x-attempt-id"
DEADLINE = b"x-deadline-ms"
AUTHORIZATION = b"authorization"
AUTHORIZATION_SCHEME = b"token"
TENANT = b"x-tenant"
EXPECT_INSTANCE = b"x-expect-instance"
# Despite its name, the value lists the handles of the stages' results.
STAGE_INPUTS = b"x-input-count"
# Number of pieces of each stage, one number per stage.
STAGE_PIECES = b"x-chunk-count"
STAGE_KEY = b"x-chunk-key"
# Despite its name, not a hash: the parts of the prompt in order, as ID:TOKENS.
PROMPT_PARTS = b"x-prefix-hash"
TOKEN_USAGE = b"x-token-usage"
MODEL = b"x-model"
LAST_EVENT_ID = b"last-event-id"
RESUMES = b"resumes"
REQUEST_PRIORITY = b"x-request-priority"

# Headers that concern one connection or the transfer of one message; they are not
# passed on.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
# Headers that only the gateway may send to an endpoint; those of a caller are not
# passed on, and `endpoint_headers` sets some of them.
GATEWAY_HEADERS = frozenset(
    (
        AUTHORIZATION,
        DEADLINE,
        TENANT,
        EXPECT_INSTANCE,
        STAGE_INPUTS,
        REQUEST_PRIORITY,
        b"x-expect-version",
        b"x-pin-ms",
        b"x-kv-hold",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
    )
)
# Headers of the request itself, which are passed on even if Connection names them.
END_TO_END = frozenset(
    (
        b"host",
        ATTEMPT_ID,
        STAGE_PIECES,
        STAGE_KEY,
        PROMPT_PARTS,
        TOKEN_USAGE,
        MODEL,
        LAST_EVENT_ID,
        RESUMES,
        b"x-length-hint",
        b"content-type",
    )
)
PROMPT_PART_PATTERN = re.compile(rb"([0-9a-fA-F]{1,64}):([0-9]{1,9})")
MAX_PIECES_PER_STAGE = 10_000


@attrs.frozen(kw_only=True)
class PromptPart:
    """A part of a prompt that other requests may have in common."""

    part_id: bytes
    tokens: int


@attrs.frozen(kw_only=True)
class RequestMetadata:
    """The decoded headers of a caller's request.

    Attributes
    ----------
    deadline : float or None
        Seconds for which the caller waits.
    key : str or None
        Workspace key; empty if the header has another scheme than ``Token``.
    stage_pieces : tuple of int
        Number of pieces of each stage; a stage without pieces is skipped.
    stage_key : str
        Key of the input of the stages without predecessors.
    last_event_id : bytes or None
        Id of the event after which a stream resumes.
    resumes : str or None
        The attempt that brought the first event of the stream that resumes.
    """

    attempt_id: str
    deadline: float | None = None
    key: str | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    stage_pieces: tuple[int, ...] = ()
    stage_key: str = ""
    last_event_id: bytes | None = None
    resumes: str | None = None


def lifetime_request(address: str) -> h11.Request:
    """Return the request that asks an engine for its state."""
    return h11.Request(
        method=b"GET",
        target=b"/api/report",
        headers=[(b"host", address.encode("latin-1")), (b"connection", b"close")],
    )


def decode_request_metadata(request: h11.Request) -> RequestMetadata:
    """Decode the headers of a caller's request.

    Raises
    ------
    BadRequestError
        If a header that may occur only once is repeated, or the deadline or the numbers
        of pieces are malformed or too large.
    """
    headers = request.headers
    attempt_id = one_value(headers, ATTEMPT_ID)
    usage = one_value(headers, TOKEN_USAGE)
    resumes = one_value(headers, RESUMES)
    prompt_tokens, max_output_tokens = _decode_token_usage(usage)
    return RequestMetadata(
        attempt_id="" if attempt_id is None else attempt_id.decode("latin-1"),
        deadline=_decode_deadline(one_value(headers, DEADLINE)),
        key=_decode_key(one_value(headers, AUTHORIZATION)),
        prompt_tokens=prompt_tokens,
        max_output_tokens=max_output_tokens,
        prompt_parts=_decode_prompt_parts(one_value(headers, PROMPT_PARTS)),
        stage_pieces=_decode_stage_pieces(one_value(headers, STAGE_PIECES)),
        stage_key=(one_value(headers, STAGE_KEY) or b"").decode("latin-1"),
        last_event_id=one_value(headers, LAST_EVENT_ID) or None,
        resumes=resumes.decode("latin-1") if resumes else None,
    )


def _decode_deadline(value: bytes | None) -> float | None:
    if value is None:
        return None
    if not value.isdigit() or len(value) > 12:
        raise BadRequestError(f"the deadline {value!r} is not a number of milliseconds")
    return int(value) / 1_000


def _decode_key(value: bytes | None) -> str | None:
    if value is None:
        return None
    scheme, _, key = value.partition(b" ")
    if scheme.lower() != AUTHORIZATION_SCHEME:
        return ""
    return key.strip().decode("latin-1")


def _decode_token_usage(value: bytes | None) -> tuple[int, int]:
    if value is None:
        return 0, 0
    prompt, _, output = value.partition(b",")
    # The endpoint validates the value; here it only estimates the size of the request.
    if not (prompt.strip().isdigit() and output.strip().isdigit()):
        return 0, 0
    return int(prompt), int(output)


def _decode_prompt_parts(value: bytes | None) -> tuple[PromptPart, ...]:
    if value is None:
        return ()
    parts = []
    for text in value.split(b","):
        match = PROMPT_PART_PATTERN.fullmatch(text.strip())
        if match is None:
            return ()
        parts.append(PromptPart(part_id=match[1], tokens=int(match[2])))
    return tuple(parts)


def _decode_stage_pieces(value: bytes | None) -> tuple[int, ...]:
    if value is None or not value.strip():
        return ()
    counts = [text.strip() for text in value.split(b",")]
    if not all(count.isdigit() and len(count) < 8 for count in counts):
        raise BadRequestError(f"the numbers of pieces {value!r} can't be read")
    pieces = tuple(int(count) for count in counts)
    if max(pieces) > MAX_PIECES_PER_STAGE:
        raise BadRequestError(f"a stage has over {MAX_PIECES_PER_STAGE} pieces")
    return pieces


@attrs.frozen(kw_only=True)
class EndpointHeaderValues:
    """Values that the gateway adds to the headers of a request to an endpoint.

    Attributes
    ----------
    remaining : float or None
        Seconds left until the deadline.
    stage_inputs : tuple of str or None
        Handles of the results that the endpoint fetches; None if there are no stages.
    rank : int or None
        Rank of the request, from 0, the most urgent, to 9.
    last_event_id : bytes or None
        Set if the gateway resumes a stream.
    """

    instance: str
    remaining: float | None
    workspace: str | None = None
    stage_inputs: tuple[str, ...] | None = None
    rank: int | None = None
    last_event_id: bytes | None = None


def endpoint_headers(
    request: h11.Request, body: bytes, terms: EndpointHeaderValues
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request as sent to an endpoint."""
    connection_options = {
        name.strip().lower()
        for key, value in request.headers
        if key == b"connection"
        for name in value.split(b",")
    }
    removed = HOP_BY_HOP | GATEWAY_HEADERS | (connection_options - END_TO_END)
    if terms.last_event_id is not None:
        removed = removed | {LAST_EVENT_ID}
    headers = [(key, value) for key, value in request.headers if key not in removed]
    headers.append((EXPECT_INSTANCE, terms.instance.encode("latin-1")))
    if terms.remaining is not None:
        headers.append((DEADLINE, b"%d" % max(1, int(terms.remaining * 1_000))))
    if terms.workspace is not None:
        headers.append((TENANT, terms.workspace.encode("latin-1")))
    if terms.stage_inputs is not None:
        headers.append((STAGE_INPUTS, ",".join(terms.stage_inputs).encode("latin-1")))
    if terms.rank is not None:
        headers.append((REQUEST_PRIORITY, b"%d" % terms.rank))
    if terms.last_event_id is not None:
        headers.append((LAST_EVENT_ID, terms.last_event_id))
    if body or request.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        headers.append((b"content-length", b"%d" % len(body)))
    return headers
