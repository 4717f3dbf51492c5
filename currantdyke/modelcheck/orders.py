"""The specification of orders: two daemons, one lease, one endpoint.

Time is counted in whole steps, always relative to now, so that it has no end.  The
store may drop a lease at any time, early or late, and grants it ``MAX_GRANTS``
times.  A holder may pause between any two steps; between its last look at the lease
and the sending it may pause only where the endpoint checks fencing numbers.
"""

import functools
from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["FENCED_FAULTS", "UNFENCED_FAULTS", "OrderState", "order_model"]

LEASE = 2
LONGEST_ORDER = 1
MAX_GRANTS = 2
IDLE = {"phase": "idle", "asked_ago": 0, "left": 0, "wait": 0}
FENCED_FAULTS = ("numbers_not_checked", "number_not_raised")
UNFENCED_FAULTS = ("lease_counted_from_answer", "no_wait", "no_look")


class Doer(NamedTuple):
    """One daemon that wants to order.

    Attributes
    ----------
    phase : str
        ``idle``, ``asked``, ``granted``, ``holding``, ``renewing``, ``renewed`` or
        ``looked``.
    asked_ago : int
        Time since its last call to the store was sent, up to ``LEASE``.
    left : int
        Time left of the lease in its own eyes.
    wait : int
        Time until its first order.
    fencing : int
        Its fencing number.
    order : int
        Number of its order in flight; 0 without one.
    due : int
        Time within which that order arrives, where that is bounded.
    """

    phase: str = "idle"
    asked_ago: int = 0
    left: int = 0
    wait: int = 0
    fencing: int = 0
    order: int = 0
    due: int = 0


class OrderState(NamedTuple):
    """The lease in the store, what the endpoint took, and the daemons."""

    holder: int
    grants: int
    fencing: int
    highest: int
    overtaken: bool
    doers: tuple[Doer, ...]


Step = tuple[str, OrderState]


def order_model(*, fenced: bool, faults: frozenset[str] = frozenset()) -> Protocol:
    """Return the model of an endpoint that checks fencing numbers or does not."""
    name = "orders, fencing checked" if fenced else "orders, fencing ignored"
    return Protocol(
        name=name + "".join(f" with {fault}" for fault in sorted(faults)),
        candidate=False,
        fields=OrderState._fields,
        initial=OrderState(-1, 0, 0, 0, False, (Doer(), Doer())),
        transitions=functools.partial(_steps, fenced=fenced, faults=faults),
        invariants={"no_old_order_after_a_new_one": lambda s: not s["overtaken"]},
    )


def _steps(state: OrderState, *, fenced: bool, faults: frozenset[str]) -> list[Step]:
    state = OrderState(*state)
    steps = list(_time_steps(state, fenced))
    for number, doer in enumerate(state.doers):
        steps.extend(_store_steps(state, number, doer, fenced, faults))
        steps.extend(_order_steps(state, number, doer, fenced, faults))
    return steps


def _time_steps(state: OrderState, fenced: bool) -> Iterator[Step]:
    late = any(doer.order and not doer.due for doer in state.doers)
    looked = any(doer.phase == "looked" for doer in state.doers)
    if fenced or not (late or looked):
        yield "time passes", state._replace(doers=tuple(map(_older, state.doers)))
    if state.holder >= 0:
        yield "lease lapses", state._replace(holder=-1)


def _older(doer: Doer) -> Doer:
    asking = doer.phase in ("asked", "granted", "renewing", "renewed")
    return doer._replace(
        asked_ago=min(LEASE, doer.asked_ago + 1) if asking else 0,
        left=max(0, doer.left - 1),
        wait=max(0, doer.wait - 1),
        due=max(0, doer.due - 1),
    )


def _store_steps(
    state: OrderState, number: int, doer: Doer, fenced: bool, faults: frozenset[str]
) -> Iterator[Step]:
    change = functools.partial(_change, state, number)
    may_grant = state.grants < MAX_GRANTS
    counted = 0 if "lease_counted_from_answer" in faults else doer.asked_ago
    held = {"phase": "holding", "left": LEASE - counted, "asked_ago": 0}
    if doer.phase == "idle" and may_grant:
        yield f"{number} asks for the lease", change(phase="asked")
    elif doer.phase == "asked":
        yield f"{number} is refused", change(**IDLE)
        if state.holder < 0 and may_grant:
            yield f"{number} is granted the lease", _grant(state, number, faults)
    elif doer.phase == "granted":
        wait = 0 if fenced or "no_wait" in faults else LEASE + LONGEST_ORDER
        yield f"{number} hears of it", change(**held, wait=wait)
    elif doer.phase == "holding":
        yield f"{number} renews", change(phase="renewing")
    elif doer.phase == "renewing" and state.holder == number:
        yield f"{number} is renewed", change(phase="renewed")
    elif doer.phase == "renewing":
        yield f"{number} has lost the lease", change(**IDLE)
    elif doer.phase == "renewed":
        yield f"{number} hears of it", change(**held)


def _grant(state: OrderState, number: int, faults: frozenset[str]) -> OrderState:
    raised = state.fencing + ("number_not_raised" not in faults)
    fencing = max(raised, 1)
    granted = _change(state, number, phase="granted", fencing=fencing)
    return granted._replace(holder=number, grants=state.grants + 1, fencing=fencing)


def _order_steps(
    state: OrderState, number: int, doer: Doer, fenced: bool, faults: frozenset[str]
) -> Iterator[Step]:
    change = functools.partial(_change, state, number)
    may_order = doer.phase == "holding" and not doer.order and not doer.wait
    if may_order and (doer.left or "no_look" in faults):
        yield f"{number} looks at its lease", change(phase="looked")
    if doer.phase == "looked":
        due = 0 if fenced else LONGEST_ORDER
        sent = change(phase="holding", order=doer.fencing, due=due)
        yield f"{number} orders", sent
    if doer.order:
        yield _arrive(state, number, doer, fenced, faults)


def _arrive(
    state: OrderState, number: int, doer: Doer, fenced: bool, faults: frozenset[str]
) -> Step:
    arrived = _change(state, number, order=0, due=0)
    old = doer.order < state.highest
    if old and fenced and "numbers_not_checked" not in faults:
        return f"{number} is refused as old", arrived
    shared = state.doers[1 - number].fencing == doer.fencing
    done = arrived._replace(
        highest=max(state.highest, doer.order),
        overtaken=state.overtaken or old or (shared and doer.order == state.highest),
    )
    return f"{number} has its order done", done


def _change(state: OrderState, number: int, **changes) -> OrderState:
    doers = list(state.doers)
    doers[number] = doers[number]._replace(**changes)
    return state._replace(doers=tuple(doers))
