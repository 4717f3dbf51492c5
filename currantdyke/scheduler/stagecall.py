"""Calls to the endpoints of a stage service."""

import uuid
from collections.abc import Awaitable, Callable

import anyio
import attrs

from currantdyke.catalog import Endpoint
from currantdyke.forward.attempt import (
    EvacuatedError,
    MaybeRanError,
    NotSentError,
    OutgoingRequest,
    attempt,
)
from currantdyke.forward.connections import EndpointConnections
from currantdyke.platform.requests import ATTEMPT_ID, EXPECT_INSTANCE
from currantdyke.platform.stagecalls import (
    FREE_TARGET,
    RUN_TARGET,
    PieceCall,
    PieceResult,
    decode_results,
    encode_free,
    encode_pieces,
    has_results,
)

__all__ = [
    "CallOutcome",
    "FreeResults",
    "RunPieces",
    "free_results",
    "run_pieces",
]

FREE_TIMEOUT_SECONDS = 1.0


@attrs.frozen(kw_only=True)
class CallOutcome:
    """The outcome of a call.

    Attributes
    ----------
    results : list of PieceResult or None
        Results in the order of the pieces; None if the call did not run or failed.
    sent : bool
        Whether the call may have reached the endpoint.
    not_run : bool
        Whether the endpoint answered that it did not run the call.
    misdirected : bool
        Whether the address belongs to another endpoint.
    evacuated : bool
        Whether it was not sent because the zone of the endpoint is evacuated.
    reason : str
        Why there are no results; empty if there are.
    """

    results: list[PieceResult] | None = None
    sent: bool = True
    not_run: bool = False
    misdirected: bool = False
    evacuated: bool = False
    reason: str = ""


# Runs pieces at an endpoint, with a timeout in seconds.
RunPieces = Callable[[Endpoint, list[PieceCall], float], Awaitable[CallOutcome]]
# Releases results at an endpoint; returns whether the call succeeded.
FreeResults = Callable[[Endpoint, list[str]], Awaitable[bool]]


async def run_pieces(
    connections: EndpointConnections,
    endpoint: Endpoint,
    pieces: list[PieceCall],
    timeout: float,
) -> CallOutcome:
    """Run pieces at an endpoint, and return failures rather than raise them.

    Parameters
    ----------
    timeout : float
        Seconds after which the call is abandoned.
    """
    request = _request(RUN_TARGET, endpoint, encode_pieces(pieces))
    results = None
    try:
        with anyio.fail_after(timeout):
            async with attempt(
                connections, endpoint, request, on_send=_ignore
            ) as answer:
                body = await answer.read_short_body()
                if answer.facts.status == 200:
                    results = decode_results(body, len(pieces))
                    # An endpoint gives each result a handle of its own.
                    answer.identify([r.handle for r in results or () if r.handle])
    except TimeoutError:
        return CallOutcome(reason="silent")
    except EvacuatedError as error:
        return CallOutcome(sent=False, evacuated=True, reason=str(error))
    except NotSentError as error:
        return CallOutcome(sent=False, reason=str(error))
    except MaybeRanError as error:
        return CallOutcome(reason=str(error))
    if answer.facts.status == 200:
        return CallOutcome(
            results=results, reason="" if results else "unreadable results"
        )
    return CallOutcome(
        not_run=answer.facts.not_run,
        misdirected=answer.facts.misdirected,
        reason=f"status {answer.facts.status}",
    )


async def free_results(
    connections: EndpointConnections, endpoint: Endpoint, handles: list[str]
) -> bool:
    """Release results at an endpoint, and return whether the call succeeded."""
    request = _request(FREE_TARGET, endpoint, encode_free(handles))
    try:
        with anyio.fail_after(FREE_TIMEOUT_SECONDS):
            async with attempt(
                connections, endpoint, request, on_send=_ignore
            ) as answer:
                if has_results(await answer.read_short_body()):
                    raise MaybeRanError("the answer to another call")
                # A second copy would confirm at most a release that was sent.
                answer.identified |= answer.facts.status == 200
    except (TimeoutError, NotSentError, MaybeRanError):
        return False
    return answer.facts.status == 200


def _request(target: bytes, endpoint: Endpoint, body: bytes) -> OutgoingRequest:
    # The pieces of a call are of several requests, so that it has an id of its own.
    call_id = uuid.uuid4().hex[:16]
    headers = [
        (b"host", endpoint.address.encode()),
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(body)),
        (EXPECT_INSTANCE, endpoint.instance.encode("latin-1")),
        (ATTEMPT_ID, call_id.encode()),
    ]
    return OutgoingRequest(
        method=b"POST",
        target=target,
        headers=headers,
        body=body,
        attempt_id=call_id,
        once=False,
        signed=False,
    )


def _ignore() -> None:
    """Do nothing when a call is sent, since pieces may run more than once."""
