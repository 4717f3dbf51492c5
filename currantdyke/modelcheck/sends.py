"""The specification of a once-only request: sends, refusals, cuts, what is told.

A gateway sends the request to one endpoint at a time.  A connection may break before
or after the bytes have arrived, and the bytes of a broken connection may still arrive
later.  An endpoint may send a refusal twice; the second one arrives on the connection
of the next send.
"""

import functools
from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["SEND_FAULTS", "SendState", "send_model"]

MAX_SENDS = 3
SEND_FAULTS = (
    "cut_taken_for_refusal",
    "send_counted_when_answered",
    "attempts_not_compared",
)


class SendState(NamedTuple):
    """What has become of one request.

    Attributes
    ----------
    phase : str
        ``ready``, ``sent``, ``running`` or ``ended``, as it is at the endpoint of
        the latest send; ``refused`` or ``cut`` as the gateway has seen it.
    sends : int
        Endpoints that it was sent to.
    doubtful : int
        Sends whose bytes may still arrive behind a broken connection.
    stray : bool
        Whether a refusal of an earlier attempt is still to come.
    runs : int
        How often it was run.
    told : str
        What its caller was told: empty, ``done``, ``not run`` or ``unknown``.
    """

    phase: str = "ready"
    sends: int = 0
    doubtful: int = 0
    stray: bool = False
    runs: int = 0
    told: str = ""


Step = tuple[str, SendState]


def send_model(*, faults: frozenset[str] = frozenset()) -> Protocol:
    """Return the model, with some faults planted in the gateway."""
    return Protocol(
        name="sends" + "".join(f" with {fault}" for fault in sorted(faults)),
        candidate=False,
        fields=SendState._fields,
        initial=SendState(),
        transitions=functools.partial(_steps, faults=faults),
        invariants={
            "runs_at_most_once": lambda s: s["runs"] <= 1,
            "not_run_is_true": lambda s: s["told"] != "not run" or not s["runs"],
        },
    )


def _steps(state: SendState, *, faults: frozenset[str]) -> list[Step]:
    state = SendState(*state)
    steps = [*_network_steps(state)]
    if not state.told:
        steps += [*_answer_steps(state, faults), *_decision_steps(state, faults)]
    return steps


def _network_steps(state: SendState) -> Iterator[Step]:
    change = state._replace
    if state.doubtful:
        arrived = change(doubtful=state.doubtful - 1, runs=state.runs + 1)
        yield "bytes of a broken connection arrive", arrived
        yield "they are lost", change(doubtful=state.doubtful - 1)
    if state.phase == "sent":
        yield "the endpoint runs it", change(phase="running", runs=state.runs + 1)
        yield "the endpoint refuses it", change(phase="refused")
        yield "the endpoint refuses it twice", change(phase="refused", stray=True)
        yield "the connection breaks", _cut(state)
    elif state.phase == "running":
        yield "the answer arrives", change(phase="ended")
        yield "the connection breaks", _cut(state)


def _cut(state: SendState) -> SendState:
    doubtful = state.doubtful + (state.phase == "sent")
    return state._replace(phase="cut", doubtful=doubtful)


def _answer_steps(state: SendState, faults: frozenset[str]) -> Iterator[Step]:
    """Return what the gateway makes of an answer that is not to its latest send."""
    if not state.stray or state.phase not in ("sent", "running"):
        return
    dropped = _cut(state)._replace(stray=False)
    if "attempts_not_compared" in faults:
        yield "a stray refusal is believed", dropped._replace(phase="refused")
    else:
        yield "a stray refusal ends the connection", dropped


def _decision_steps(state: SendState, faults: frozenset[str]) -> Iterator[Step]:
    change = state._replace
    proven = state.phase in ("ready", "refused")
    if state.phase == "cut" and "cut_taken_for_refusal" in faults:
        proven = True
    if proven and state.sends < MAX_SENDS:
        yield "the gateway sends it", change(phase="sent", sends=state.sends + 1)
    if proven:
        yield "the caller is told not run", change(told="not run")
    if state.phase == "ended":
        yield "the caller is told done", change(told="done")
    if state.phase == "cut":
        yield "the caller is told unknown", change(told="unknown")
    if state.phase in ("sent", "running"):
        told = "not run" if "send_counted_when_answered" in faults else "unknown"
        yield f"the time is up: the caller is told {told}", change(told=told)
