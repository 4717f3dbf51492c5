"""The faults, each with a function that injects it and one that ends it."""

from collections.abc import AsyncIterator, Callable

import attrs

from currantdyke.standins.stages import StageCall, StubEndpoint
from currantdyke.testing import FleetInMemory
from currantdyke.testing.builders import build_bundle

__all__ = ["FAULTS", "Fault"]

SLOW_SECONDS = 1.5
SLOW_TOKEN_SECONDS = 0.2
FROZEN_SECONDS = 1e6
LINK_DELAY_SECONDS = 1.0


@attrs.frozen(kw_only=True)
class Fault:
    """A fault of an endpoint, a daemon or a caller.

    Attributes
    ----------
    inject : callable
        Injects the fault, given the fleet and the affected endpoint.
    recover : callable
        Ends the fault, for faults that end, given the same arguments.
    caller_behaviour : str
        ``goes`` if the caller disconnects, ``resends`` if it sends a charge twice, else
        empty.
    """

    inject: Callable[[FleetInMemory, str], None] = lambda fleet, endpoint: None
    recover: Callable[[FleetInMemory, str], None] = lambda fleet, endpoint: None
    caller_behaviour: str = ""


def _slow_endpoint(fleet: FleetInMemory, endpoint: str) -> None:
    standin = fleet.standins[endpoint]
    standin.seconds = SLOW_SECONDS
    standin.token_seconds = SLOW_TOKEN_SECONDS


def _kill_endpoint(fleet: FleetInMemory, endpoint: str) -> None:
    fleet.network.kill(f"{endpoint}:1")


def _freeze_endpoint(fleet: FleetInMemory, endpoint: str) -> None:
    standin = fleet.standins[endpoint]
    standin.seconds = FROZEN_SECONDS
    standin.token_seconds = FROZEN_SECONDS


def _corrupt_answers(fleet: FleetInMemory, endpoint: str) -> None:
    standin = fleet.standins[endpoint]
    standin.answer = lambda call: b"\x00garbage"
    standin.stream = _garbage_stream


async def _garbage_stream(call: StageCall) -> AsyncIterator[bytes]:
    yield b"data: \xff\x00{]\n\n"


def _delay_link(fleet: FleetInMemory, endpoint: str) -> None:
    fleet.network.faults_at(f"{endpoint}:1").delay = LINK_DELAY_SECONDS


def _lose_answer(fleet: FleetInMemory, endpoint: str) -> None:
    fleet.network.faults_at(f"{endpoint}:1").lose_answer = True


def _answer_for_another_attempt(fleet: FleetInMemory, endpoint: str) -> None:
    fleet.standins[endpoint].answered_attempt_id = "entry-9.feed.a1"


def _duplicate_chunks(fleet: FleetInMemory, endpoint: str) -> None:
    standin = fleet.standins[endpoint]
    standin.stream = _duplicating_stream(standin)


def _duplicating_stream(
    standin: StubEndpoint,
) -> Callable[[StageCall], AsyncIterator[bytes]]:
    chunk = (
        'data: {"id": "%s", "token_index": %d, "choices": '
        '[{"index": 0, "text": "%s:%d ", "finish_reason": %s}]}\n\n'
    )

    async def chunks(call: StageCall) -> AsyncIterator[bytes]:
        for index in range(int(call.body.get("resume_from", 0)), standin.tokens):
            finish = '"stop"' if index == standin.tokens - 1 else "null"
            fields = (call.attempt_id, index, call.request_id, index, finish)
            yield (chunk % fields).encode() * 2

    return chunks


def _refuse_calls(fleet: FleetInMemory, endpoint: str) -> None:
    fleet.standins[endpoint].refuse = True


def _kill_daemon(fleet: FleetInMemory, endpoint: str) -> None:
    if "entry-1" in fleet.scopes:
        fleet.kill_daemon("entry-1")


def _restart_daemon(fleet: FleetInMemory, endpoint: str) -> None:
    fleet.tasks.start_soon(_start_daemon, fleet)


async def _start_daemon(fleet: FleetInMemory) -> None:
    if "entry-1" in fleet.scopes:
        return
    await fleet.start_daemon("entry-1")
    fleet.apply_bundle(build_bundle(fleet.urls))


FAULTS = {
    "none": Fault(),
    "endpoint slow": Fault(inject=_slow_endpoint),
    "endpoint dead": Fault(inject=_kill_endpoint),
    "endpoint silent": Fault(inject=_freeze_endpoint),
    "endpoint garbage": Fault(inject=_corrupt_answers),
    "endpoint late": Fault(inject=_delay_link),
    "answer lost": Fault(inject=_lose_answer),
    "answer crossed": Fault(inject=_answer_for_another_attempt),
    "answer doubled": Fault(inject=_duplicate_chunks),
    "endpoint refuses": Fault(inject=_refuse_calls),
    "daemon killed": Fault(inject=_kill_daemon, recover=_restart_daemon),
    "caller goes": Fault(caller_behaviour="goes"),
    "caller resends": Fault(caller_behaviour="resends"),
}
