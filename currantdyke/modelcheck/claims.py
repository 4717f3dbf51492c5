"""The specification of claims: requests that share one idempotency key.

A request may pause between any two steps, for any time; that is the meaning of
interleaving here.  Writes can be lost, applied with a lost answer, or applied late.
"""

import functools
from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["CLAIM_FAULTS", "ClaimState", "Request", "claim_model", "claim_steps"]

FREE, CLAIMED, RELEASED, ENDED = "free", "claimed", "released", "ended"
CLAIM_FAULTS = (
    "claim_after_dispatch",
    "no_read_back",
    "no_compare",
    "lapsed_claim_taken_over",
    "released_after_hand_off",
    "not_run_after_hand_off",
)


class Request(NamedTuple):
    """One request with the key, in a daemon of its own.

    Attributes
    ----------
    phase : str
        ``start``, ``ready``, ``unsettled``, ``granted``, ``running``, ``ending``,
        ``releasing`` or ``over``.
    seen : int
        Revision that it last read.
    late : int
        Revision that its write still under way compares with; -1 without one.
    ran : bool
        Whether the endpoint got its call.
    told : str
        What its caller was told.
    """

    phase: str = "start"
    seen: int = 0
    late: int = -1
    ran: bool = False
    told: str = ""


class ClaimState(NamedTuple):
    """The key's record in the store, and the requests."""

    revision: int
    state: str
    holder: int
    requests: tuple[Request, ...]


Step = tuple[str, ClaimState]


def claim_model(*, requests: int = 3, faults: frozenset[str] = frozenset()) -> Protocol:
    """Return the model; ``faults`` are those of `CLAIM_FAULTS` to plant."""
    initial = ClaimState(0, FREE, -1, (Request(),) * requests)
    return Protocol(
        name="claims" + "".join(f" with {fault}" for fault in sorted(faults)),
        candidate=False,
        fields=ClaimState._fields,
        initial=initial,
        transitions=functools.partial(claim_steps, faults=faults),
        invariants={
            "at_most_once": _at_most_once,
            "no_false_not_run": _no_false_not_run,
            "one_answer_if_done": _done_only_if_ran,
        },
    )


def claim_steps(state: ClaimState, faults: frozenset[str]) -> list[Step]:
    """Return every labelled step that can come next."""
    state = ClaimState(*state)
    steps: list[Step] = []
    for number, request in enumerate(state.requests):
        steps.extend(_request_steps(state, number, request, faults))
        if request.late >= 0:
            arrived = _change(state, number, late=-1)
            steps.append((f"{number} late write lost", arrived))
            if request.late == state.revision or "no_compare" in faults:
                written = _write(arrived, CLAIMED, number)
                steps.append((f"{number} claim written", written))
    return steps


def _request_steps(
    state: ClaimState, number: int, request: Request, faults: frozenset[str]
) -> Iterator[Step]:
    phase = request.phase
    change = functools.partial(_change, state, number)
    if phase == "over":
        return
    yield f"{number} crashed", change(phase="over")
    if phase == "start":
        yield f"{number} told not_run", change(phase="over", told="not_run")
        if "claim_after_dispatch" in faults and not request.ran:
            yield f"{number} ran", change(ran=True)
        yield from _read(state, number, faults)
    elif phase == "ready":
        yield f"{number} told not_run", change(phase="over", told="not_run")
        yield from _swap(state, number, request, faults)
    elif phase == "unsettled":
        yield f"{number} told not_run", change(phase="releasing", told="not_run")
        yield from _read_back(state, number, request, faults)
    elif phase == "granted":
        yield f"{number} told not_run", change(phase="releasing", told="not_run")
        yield f"{number} ran", change(phase="running", ran=True)
    elif phase == "running":
        yield f"{number} told done", change(phase="ending", told="done")
        told = "not_run" if "not_run_after_hand_off" in faults else "unknown"
        after = "releasing" if "released_after_hand_off" in faults else "ending"
        yield f"{number} told {told}", change(phase=after, told=told)
    elif phase == "ending":
        over = change(phase="over")
        holds = (state.state, state.holder) == (CLAIMED, number)
        yield f"{number} ended", _write(over, ENDED, number) if holds else over
    elif phase == "releasing":
        yield f"{number} released", _release(state, number)


def _read(state: ClaimState, number: int, faults: frozenset[str]) -> Iterator[Step]:
    mine = state.holder == number
    free = state.state == FREE or (state.state == RELEASED and not mine)
    if state.state == CLAIMED and "lapsed_claim_taken_over" in faults:
        free = True
    if free:
        ready = _change(state, number, phase="ready", seen=state.revision)
        yield f"{number} read", ready
    elif mine and state.state == CLAIMED:
        yield f"{number} read", _change(state, number, phase="granted")
    elif state.state == ENDED:
        for told in ("done", "unknown"):
            over = _change(state, number, phase="over", told=told)
            yield f"{number} told {told}", over
    else:
        over = _change(state, number, phase="over", told="unknown")
        yield f"{number} told unknown", over


def _swap(
    state: ClaimState, number: int, request: Request, faults: frozenset[str]
) -> Iterator[Step]:
    unsettled = _change(state, number, phase="unsettled")
    yield f"{number} write lost", unsettled
    if request.late < 0:
        late = _change(state, number, phase="unsettled", late=request.seen)
        yield f"{number} write late", late
    if state.revision != request.seen and "no_compare" not in faults:
        yield f"{number} conflict", _change(state, number, phase="start")
        return
    granted = _change(state, number, phase="granted")
    yield f"{number} claim written", _write(granted, CLAIMED, number)
    yield f"{number} claim written", _write(unsettled, CLAIMED, number)


def _read_back(
    state: ClaimState, number: int, request: Request, faults: frozenset[str]
) -> Iterator[Step]:
    if "no_read_back" in faults or (state.state, state.holder) == (CLAIMED, number):
        yield f"{number} read", _change(state, number, phase="granted")
    elif state.revision == request.seen:
        yield f"{number} read", _change(state, number, phase="ready")
    else:
        yield f"{number} read", _change(state, number, phase="start")


def _release(state: ClaimState, number: int) -> ClaimState:
    over = _change(state, number, phase="over")
    if state.state in (FREE, RELEASED) or (
        state.state == CLAIMED and state.holder == number
    ):
        return _write(over, RELEASED, number)
    return over


def _change(state: ClaimState, number: int, **changes) -> ClaimState:
    requests = list(state.requests)
    requests[number] = requests[number]._replace(**changes)
    return state._replace(requests=tuple(requests))


def _write(state: ClaimState, kind: str, holder: int) -> ClaimState:
    return state._replace(revision=state.revision + 1, state=kind, holder=holder)


def _at_most_once(state: dict) -> bool:
    return sum(request.ran for request in state["requests"]) <= 1


def _no_false_not_run(state: dict) -> bool:
    return not any(r.ran and r.told == "not_run" for r in state["requests"])


def _done_only_if_ran(state: dict) -> bool:
    told = any(request.told == "done" for request in state["requests"])
    return not told or any(request.ran for request in state["requests"])
