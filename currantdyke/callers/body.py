"""Read a caller's request body within limits on size, nesting depth and time."""

from typing import Any

import anyio
import msgspec
from expression import Error, Ok, Result
from starlette.requests import ClientDisconnect, Request

from currantdyke.callers.headers import malformed_error
from currantdyke.core import Failure, FailureKind, is_deeper_than

__all__ = ["read_input"]

BODY_TIMEOUT_SECONDS = 10.0
MAX_DEPTH = 64


async def read_input(request: Request, max_bytes: int) -> Result[Any, Failure]:
    """Return the value of the key ``input`` in a request's JSON body."""
    length = request.headers.get("content-length", "0")
    if length.isdecimal() and (len(length) > 15 or int(length) > max_bytes):
        return _too_large(max_bytes)
    body = await _read_body(request, max_bytes)
    if body.is_error():
        return Error(body.error)
    try:
        content = msgspec.json.decode(body.ok)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        return malformed_error(f"the body is not JSON ({error!s:.100})")
    if not isinstance(content, dict) or "input" not in content:
        return malformed_error("the body is no object with the key 'input'")
    if is_deeper_than(content, MAX_DEPTH):
        return malformed_error(f"the body is nested deeper than {MAX_DEPTH}")
    return Ok(content["input"])


async def _read_body(request: Request, max_bytes: int) -> Result[bytes, Failure]:
    body = bytearray()
    try:
        with anyio.fail_after(BODY_TIMEOUT_SECONDS):
            async for chunk in request.stream():
                body += chunk
                if len(body) > max_bytes:
                    return _too_large(max_bytes)
    except TimeoutError:
        return malformed_error(f"the body did not come in {BODY_TIMEOUT_SECONDS:g} s")
    except ClientDisconnect:
        return malformed_error("the caller went away before its body was read")
    return Ok(bytes(body))


def _too_large(max_bytes: int) -> Result[Any, Failure]:
    detail = f"the body is longer than {max_bytes} bytes"
    return Error(Failure(kind=FailureKind.TOO_LARGE, detail=detail))
