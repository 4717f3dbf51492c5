"""Model of a non-idempotent request: sends, refusals, broken connections, outcome.

A gateway sends the request to one endpoint at a time.  A connection may break before
or after the bytes have arrived, and the bytes of a broken connection may still arrive
later.  An endpoint may send a refusal twice; the second one may arrive on the
connection of any later send.
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
    """State of one request.

    Attributes
    ----------
    phase : str
        ``ready`` before the first send. After it, the state of the latest send:
        ``sent`` (neither run nor refused), ``running``, ``ended`` (the answer arrived),
        or, as observed by the gateway, ``refused`` or ``cut`` (connection broken).
    sends : int
        Number of times the request was sent.
    delayed_sends : int
        Sends whose connection broke and whose bytes may still arrive.
    late_refusal : bool
        Whether a duplicate refusal of an earlier attempt may still arrive.
    runs : int
        Number of times the request was run.
    told : str
        Outcome reported to the caller: empty, ``done``, ``not run`` or ``unknown``.
    """

    phase: str = "ready"
    sends: int = 0
    delayed_sends: int = 0
    late_refusal: bool = False
    runs: int = 0
    told: str = ""


Step = tuple[str, SendState]


def send_model(*, faults: frozenset[str] = frozenset()) -> Protocol:
    """Return the model, with ``faults`` injected into the gateway."""
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
        steps += [*_late_refusal_steps(state, faults), *_decision_steps(state, faults)]
    return steps


def _network_steps(state: SendState) -> Iterator[Step]:
    replace = state._replace
    if state.delayed_sends:
        arrived = replace(delayed_sends=state.delayed_sends - 1, runs=state.runs + 1)
        yield "bytes of a broken connection arrive", arrived
        yield (
            "bytes of a broken connection are lost",
            replace(delayed_sends=state.delayed_sends - 1),
        )
    if state.phase == "sent":
        yield "the endpoint runs it", replace(phase="running", runs=state.runs + 1)
        yield "the endpoint refuses it", replace(phase="refused")
        yield (
            "the endpoint refuses it twice",
            replace(phase="refused", late_refusal=True),
        )
        yield "the connection breaks", _break_connection(state)
    elif state.phase == "running":
        yield "the answer arrives", replace(phase="ended")
        yield "the connection breaks", _break_connection(state)


def _break_connection(state: SendState) -> SendState:
    delayed_sends = state.delayed_sends + (state.phase == "sent")
    return state._replace(phase="cut", delayed_sends=delayed_sends)


def _late_refusal_steps(state: SendState, faults: frozenset[str]) -> Iterator[Step]:
    """Yield the gateway's transitions on a refusal of an earlier attempt."""
    if not state.late_refusal or state.phase not in ("sent", "running"):
        return
    dropped = _break_connection(state)._replace(late_refusal=False)
    if "attempts_not_compared" in faults:
        yield "a late refusal is accepted", dropped._replace(phase="refused")
    else:
        yield "a late refusal closes the connection", dropped


def _decision_steps(state: SendState, faults: frozenset[str]) -> Iterator[Step]:
    replace = state._replace
    known_not_run = state.phase in ("ready", "refused")
    if state.phase == "cut" and "cut_taken_for_refusal" in faults:
        known_not_run = True
    if known_not_run and state.sends < MAX_SENDS:
        yield "the gateway sends it", replace(phase="sent", sends=state.sends + 1)
    if known_not_run:
        yield "the caller is told not run", replace(told="not run")
    if state.phase == "ended":
        yield "the caller is told done", replace(told="done")
    if state.phase == "cut":
        yield "the caller is told unknown", replace(told="unknown")
    if state.phase in ("sent", "running"):
        told = "not run" if "send_counted_when_answered" in faults else "unknown"
        yield f"the deadline passes: the caller is told {told}", replace(told=told)
