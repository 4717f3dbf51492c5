"""How an emulated endpoint writes an answer: its framing, its pauses and its end."""

import enum

import anyio
import attrs

from currantdyke.emulator.http import Reply, Request

__all__ = ["AnswerPlan", "Ending", "Framing", "Garbage", "plan_sound", "write_answer"]

# A caller that does not close gets about 10 MB/s of garbage.
GARBAGE_BLOCK_BYTES = 50_000
GARBAGE_INTERVAL_SECONDS = 0.005


class Framing(enum.Enum):
    """What delimits the body.

    ``LENGTH`` sends Content-Length, ``CHUNKS`` a chunked body; ``CONNECTION`` sends
    neither, so that the body ends with the connection.
    """

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


class Ending(enum.Enum):
    """What follows the last part that is sent.

    ``END`` ends the body as its framing requires, also after an incomplete part if the
    framing allows that; ``CLOSE`` and ``RESET`` close or reset the connection instead.
    """

    END = "end"
    CLOSE = "close"
    RESET = "reset"


class Garbage(enum.Enum):
    """Where bytes that are no answer begin, which end only when the caller closes.

    ``NO_HTTP`` sends them instead of a status line, ``HEAD`` in a header field,
    ``BODY`` after the head, framed like a body.
    """

    NONE = "none"
    NO_HTTP = "no http"
    HEAD = "head"
    BODY = "body"


@attrs.frozen(kw_only=True)
class AnswerPlan:
    """How an endpoint writes one answer.

    The parts of an answer are the events of a stream, or the halves of another body.

    Attributes
    ----------
    framing : Framing or None
        None for the usual one of the endpoint.
    silent_before : float
        Seconds of silence before the head.
    silent_after : int
        Number of parts after which ``silent_seconds`` of silence follow; none follows a
        body that is complete by its length.
    break_after : int or None
        Number of complete parts, after which half of the next one is sent; None to send
        all of them.
    """

    status: int = 200
    framing: Framing | None = None
    ending: Ending = Ending.END
    silent_before: float = 0.0
    silent_after: int = 1
    silent_seconds: float = 0.0
    break_after: int | None = None
    garbage: Garbage = Garbage.NONE


def plan_sound(request: Request) -> AnswerPlan:
    """Plan a complete answer without pauses."""
    return AnswerPlan()


async def write_answer(
    reply: Reply,
    headers: dict[str, str],
    parts: list[bytes],
    plan: AnswerPlan,
    *,
    framing: Framing,
    part_seconds: float = 0.0,
) -> None:
    """Write an answer as planned.

    Parameters
    ----------
    framing : Framing
        The framing if the plan names none.
    part_seconds : float
        Time after each part.
    """
    framing = plan.framing or framing
    await anyio.sleep(plan.silent_before)
    if plan.garbage in (Garbage.NO_HTTP, Garbage.HEAD):
        await _write_garbage_head(reply, plan)
    await _write_head(reply, headers, parts, plan, framing)
    while plan.garbage is Garbage.BODY:
        await _write_part(reply, b"\x00" * GARBAGE_BLOCK_BYTES, framing)
        await anyio.sleep(GARBAGE_INTERVAL_SECONDS)
    complete = True
    for number, part in enumerate(parts, start=1):
        if plan.break_after is not None and number > plan.break_after:
            await _write_part(reply, part[: len(part) // 2], framing)
            complete = False
            break
        await _write_part(reply, part, framing)
        if framing is Framing.LENGTH and number == len(parts):
            # Nothing follows, so the caller may already use the connection again.
            break
        await anyio.sleep(part_seconds)
        if number == plan.silent_after:
            await anyio.sleep(plan.silent_seconds)
    await _write_end(reply, plan.ending, framing, complete=complete)


async def _write_garbage_head(reply: Reply, plan: AnswerPlan) -> None:
    """Write bytes without end, until the caller closes."""
    if plan.garbage is Garbage.HEAD:
        await reply.send_raw(b"HTTP/1.1 %d Status\r\nx-a: " % plan.status)
    while True:
        await reply.send_raw(b"a" * GARBAGE_BLOCK_BYTES)
        await anyio.sleep(GARBAGE_INTERVAL_SECONDS)


async def _write_head(
    reply: Reply,
    headers: dict[str, str],
    parts: list[bytes],
    plan: AnswerPlan,
    framing: Framing,
) -> None:
    if framing is Framing.CONNECTION:
        await reply.send_undelimited_head(plan.status, headers)
    elif framing is Framing.CHUNKS or plan.garbage is Garbage.BODY:
        await reply.send_head(plan.status, headers)
    else:
        await reply.send_head(plan.status, headers, length=sum(map(len, parts)))


async def _write_part(reply: Reply, part: bytes, framing: Framing) -> None:
    if framing is Framing.CONNECTION:
        await reply.send_raw(part)
    else:
        await reply.send_chunk(part)


async def _write_end(
    reply: Reply, ending: Ending, framing: Framing, *, complete: bool
) -> None:
    if ending is Ending.RESET:
        await reply.reset()
    # An incomplete body with a length can only be ended by closing the connection.
    closes = framing is Framing.CONNECTION or (
        framing is Framing.LENGTH and not complete
    )
    if closes or ending is Ending.CLOSE:
        await reply.close()
    await reply.send_end()
