"""Read a caller's HTTP request into a typed one, within bounds."""

from typing import Any

import anyio
import attrs
import msgspec
from expression import Error, Ok, Result
from starlette.requests import ClientDisconnect, Request

from currantdyke.bundle import BundleInForce, hash_key
from currantdyke.core import Failure, FailureKind

__all__ = ["CallerRequest", "authenticate", "read_caller_request"]

BODY_TIMEOUT_SECONDS = 10.0
MAX_DEADLINE_SECONDS = 600.0
MAX_KEY_LENGTH = 200
PRIORITIES = range(-10, 11)


@attrs.frozen(kw_only=True)
class CallerRequest:
    """What a caller asks for, checked."""

    workspace: str
    input: Any
    deadline_seconds: float | None
    priority: int
    idempotency_key: str
    streamed: bool


def authenticate(request: Request, in_force: BundleInForce) -> Result[str, Failure]:
    """Return the workspace whose key the request carries."""
    values = request.headers.getlist("authorization")
    scheme, _, key = values[0].partition(" ") if len(values) == 1 else ("", "", "")
    workspace = in_force.key_owners.get(hash_key(key.strip()))
    if scheme.lower() != "bearer" or workspace is None:
        return Error(
            Failure(kind=FailureKind.UNAUTHORIZED, detail="no valid workspace key")
        )
    return Ok(workspace)


async def read_caller_request(
    request: Request, in_force: BundleInForce, max_body_bytes: int
) -> Result[CallerRequest, Failure]:
    """Check the headers and read the body of a request."""
    workspace = authenticate(request, in_force)
    if workspace.is_error():
        return Error(workspace.error)
    deadline = _number(request, "x-deadline-seconds", MAX_DEADLINE_SECONDS)
    if deadline.is_error():
        return Error(deadline.error)
    priority = _priority(request)
    if priority.is_error():
        return Error(priority.error)
    key = _single(request, "idempotency-key")
    if key.is_error():
        return Error(key.error)
    body = await _body(request, max_body_bytes)
    if body.is_error():
        return Error(body.error)
    return Ok(
        CallerRequest(
            workspace=workspace.ok,
            input=body.ok,
            deadline_seconds=deadline.ok,
            priority=priority.ok,
            idempotency_key=key.ok,
            streamed="text/event-stream" in request.headers.get("accept", ""),
        )
    )


def _malformed(detail: str) -> Result[Any, Failure]:
    return Error(Failure(kind=FailureKind.MALFORMED, detail=detail))


def _single(request: Request, name: str) -> Result[str, Failure]:
    values = request.headers.getlist(name)
    if len(values) > 1:
        return _malformed(f"the header {name} stands {len(values)} times")
    value = values[0] if values else ""
    if len(value) > MAX_KEY_LENGTH:
        return _malformed(f"the header {name} is longer than {MAX_KEY_LENGTH}")
    return Ok(value)


def _number(request: Request, name: str, most: float) -> Result[float | None, Failure]:
    text = _single(request, name)
    if text.is_error():
        return Error(text.error)
    if not text.ok:
        return Ok(None)
    try:
        value = float(text.ok)
    except ValueError:
        return _malformed(f"{name} is {text.ok!r}, not a number")
    if not 0.0 < value <= most:
        return _malformed(f"{name} is {value:g}, not above 0 and at most {most:g}")
    return Ok(value)


def _priority(request: Request) -> Result[int, Failure]:
    text = _single(request, "x-priority")
    if text.is_error():
        return Error(text.error)
    try:
        value = int(text.ok or "0")
    except ValueError:
        return _malformed(f"x-priority is {text.ok!r}, not a whole number")
    if value not in PRIORITIES:
        return _malformed(f"x-priority is {value}, not from -10 to 10")
    return Ok(value)


async def _body(request: Request, most: int) -> Result[Any, Failure]:
    body = bytearray()
    try:
        with anyio.fail_after(BODY_TIMEOUT_SECONDS):
            async for chunk in request.stream():
                body += chunk
                if len(body) > most:
                    return Error(
                        Failure(
                            kind=FailureKind.TOO_LARGE,
                            detail=f"the body is longer than {most} bytes",
                        )
                    )
        content = msgspec.json.decode(bytes(body))
    except TimeoutError:
        return _malformed(f"the body did not come in {BODY_TIMEOUT_SECONDS:g} s")
    except ClientDisconnect:
        return _malformed("the caller went away before its body was read")
    except (msgspec.DecodeError, RecursionError) as error:
        return _malformed(f"the body is not JSON ({error!s:.100})")
    if not isinstance(content, dict) or "input" not in content:
        return _malformed("the body is no object with the key 'input'")
    return Ok(content["input"])
