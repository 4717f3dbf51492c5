"""The faults, each a function that brings it in and one that ends it."""

from collections.abc import AsyncIterator, Callable

import attrs

from currantdyke.standins.stages import StageCall, StageStandIn
from currantdyke.testing import FleetInMemory
from currantdyke.testing.builders import build_bundle

__all__ = ["FAULTS", "Fault"]

SLOW_SECONDS = 1.5
SLOW_TOKEN_SECONDS = 0.2
FROZEN_SECONDS = 1e6
LATE_SECONDS = 1.0


@attrs.frozen(kw_only=True)
class Fault:
    """A fault of the endpoint, the daemon or the caller.

    Attributes
    ----------
    strike : callable
        Brings it in, given the fleet and the endpoint that is struck.
    heal : callable
        Ends it where the daemon comes back.
    caller : str
        What the caller does of its own: ``goes`` or ``resends``; else empty.
    """

    strike: Callable[[FleetInMemory, str], None] = lambda fleet, endpoint: None
    heal: Callable[[FleetInMemory, str], None] = lambda fleet, endpoint: None
    caller: str = ""


def _slow(fleet: FleetInMemory, endpoint: str) -> None:
    standin = fleet.standins[endpoint]
    standin.seconds = SLOW_SECONDS
    standin.token_seconds = SLOW_TOKEN_SECONDS


def _dead(fleet: FleetInMemory, endpoint: str) -> None:
    fleet.network.kill(f"{endpoint}:1")


def _silent(fleet: FleetInMemory, endpoint: str) -> None:
    standin = fleet.standins[endpoint]
    standin.seconds = FROZEN_SECONDS
    standin.token_seconds = FROZEN_SECONDS


def _garbage(fleet: FleetInMemory, endpoint: str) -> None:
    standin = fleet.standins[endpoint]
    standin.answer = lambda call: b"\x00garbage"
    standin.stream = _garbage_stream


async def _garbage_stream(call: StageCall) -> AsyncIterator[bytes]:
    yield b"data: \xff\x00{]\n\n"


def _late(fleet: FleetInMemory, endpoint: str) -> None:
    fleet.network.link(f"{endpoint}:1").delay = LATE_SECONDS


def _lost(fleet: FleetInMemory, endpoint: str) -> None:
    fleet.network.link(f"{endpoint}:1").lose_answer = True


def _crossed(fleet: FleetInMemory, endpoint: str) -> None:
    fleet.standins[endpoint].cross = "entry-9.feed.a1"


def _doubled(fleet: FleetInMemory, endpoint: str) -> None:
    standin = fleet.standins[endpoint]
    standin.stream = _doubling(standin)


def _doubling(
    standin: StageStandIn,
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


def _refusing(fleet: FleetInMemory, endpoint: str) -> None:
    fleet.standins[endpoint].refuse = True


def _daemon_killed(fleet: FleetInMemory, endpoint: str) -> None:
    if "entry-1" in fleet.scopes:
        fleet.kill_daemon("entry-1")


def _daemon_started(fleet: FleetInMemory, endpoint: str) -> None:
    fleet.tasks.start_soon(_start, fleet)


async def _start(fleet: FleetInMemory) -> None:
    if "entry-1" in fleet.scopes:
        return
    await fleet.start_daemon("entry-1")
    fleet.put_in_force(build_bundle(fleet.urls))


FAULTS = {
    "none": Fault(),
    "endpoint slow": Fault(strike=_slow),
    "endpoint dead": Fault(strike=_dead),
    "endpoint silent": Fault(strike=_silent),
    "endpoint garbage": Fault(strike=_garbage),
    "endpoint late": Fault(strike=_late),
    "answer lost": Fault(strike=_lost),
    "answer crossed": Fault(strike=_crossed),
    "answer doubled": Fault(strike=_doubled),
    "endpoint refuses": Fault(strike=_refusing),
    "daemon killed": Fault(strike=_daemon_killed, heal=_daemon_started),
    "caller goes": Fault(caller="goes"),
    "caller resends": Fault(caller="resends"),
}
