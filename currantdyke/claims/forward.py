"""Carries claims to the daemon that writes their slice."""

import pathlib

import anyio
import capnp
from expression import Error, Ok, Result

from currantdyke.claims.operations import (
    ClaimAnswer,
    ClaimError,
    Granted,
    Recorded,
    Taken,
)
from currantdyke.claims.records import Record, State
from currantdyke.claims.service import CLAIM_SECONDS, Claims
from currantdyke.membership import Membership
from currantdyke.peers import MessageKind
from currantdyke.store import Unavailable, Unsettled

__all__ = ["decode_answer", "encode_answer", "forward_claims"]

capnp.remove_import_hook()
SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("claim.capnp")))

MAX_ANSWER_BYTES = 65_536
NAMES = {state: state.name.lower() for state in State}
STATES = {name: state for state, name in NAMES.items()}

Answer = Result[ClaimAnswer, ClaimError]


def forward_claims(claims: Claims, membership: Membership) -> None:
    """Let claims go to their owners through the peers' network, and take others'."""

    async def forward(
        owner: str, is_claim: bool, digest: bytes, record: Record
    ) -> Answer | None:
        member = membership.find_daemon(owner)
        if member is None:
            return None
        question = _encode_question(is_claim, digest, record)
        try:
            answer = await membership.link.ask(
                MessageKind.CLAIM, member.address, MAX_ANSWER_BYTES, content=question
            )
            return decode_answer(answer.content)
        except (OSError, TimeoutError, capnp.KjException, KeyError):
            return None

    async def take(content: bytes) -> bytes:
        try:
            question = SCHEMA.Question.from_bytes_packed(content)
            record = _read_record(question.record)
        except (capnp.KjException, KeyError):
            return b""
        digest = bytes(question.digest)
        if question.isClaim:
            deadline = anyio.current_time() + CLAIM_SECONDS
            return encode_answer(await claims.claim_here(digest, record, deadline))
        return encode_answer(await claims.end_here(digest, record))

    claims.live_daemons = lambda: tuple(
        sorted(member.name for member in membership.live_members())
    )
    claims.forward = forward
    membership.call_handlers[MessageKind.CLAIM] = take


def encode_answer(answer: Answer) -> bytes:
    """Return an answer as bytes.

    Examples
    --------
    >>> decode_answer(encode_answer(Ok(Granted()))) == Ok(Granted())
    True
    """
    built = SCHEMA.Answer.new_message()
    if answer.is_error():
        built.kind = type(answer.error).__name__.lower()
        built.detail = answer.error.detail
        return built.to_bytes_packed()
    built.kind = type(answer.ok).__name__.lower()
    if isinstance(answer.ok, Taken):
        _write_record(built.init("record"), answer.ok.record)
    return built.to_bytes_packed()


def decode_answer(content: bytes) -> Answer:
    """Read what `encode_answer` wrote; raise ``KeyError`` for another kind."""
    read = SCHEMA.Answer.from_bytes_packed(content)
    kind = str(read.kind)
    if kind == "unavailable":
        return Error(Unavailable(detail=read.detail))
    if kind == "unsettled":
        return Error(Unsettled(detail=read.detail))
    if kind == "taken":
        return Ok(Taken(record=_read_record(read.record)))
    plain: dict[str, ClaimAnswer] = {"granted": Granted(), "recorded": Recorded()}
    return Ok(plain[kind])


def _encode_question(is_claim: bool, digest: bytes, record: Record) -> bytes:
    built = SCHEMA.Question.new_message(isClaim=is_claim, digest=digest)
    _write_record(built.init("record"), record)
    return built.to_bytes_packed()


def _write_record(built, record: Record) -> None:
    built.requestId = record.request_id
    built.body = record.body
    built.claimed = record.claimed
    built.until = record.until
    built.state = NAMES[record.state]
    built.result = record.result


def _read_record(read) -> Record:
    return Record(
        request_id=read.requestId,
        body=bytes(read.body),
        claimed=read.claimed,
        until=read.until,
        state=STATES[str(read.state)],
        result=bytes(read.result),
    )
