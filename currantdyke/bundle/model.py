"""A small specification of how changes are accepted and spread, to be checked.

Operators race for the head. The answer to any swap may be lost, the swap may arrive
late, and reads may show an old head. Daemons take versions from the store and from
one another, by messages that arrive in any order and twice, and restart with nothing.
"""

from collections.abc import Callable, Iterator

import attrs
import minicheck

__all__ = ["Rules", "State", "models", "protocol", "transitions"]

OPERATORS = 2
DAEMONS = 2
MAX_SWAPS = 2
MAX_VERSION = 3
MAX_RESTARTS = 1
IDLE, SENT, WON, LOST = "idle", "sent", "won", "lost"


@attrs.frozen(kw_only=True)
class Rules:
    """What the protocol does; each False plants a fault.

    Attributes
    ----------
    compares_head : bool
        A swap takes effect only where the head is what it expects.
    reads_back : bool
        A lost answer is settled by looking for the change in the chain; otherwise
        the operator starts anew from the head that it sees.
    compares_version : bool
        A daemon takes only versions higher than the one in force.
    confirms_first_look : bool
        A fresh daemon takes traffic after a read that cannot be old.
    """

    compares_head: bool = True
    reads_back: bool = True
    compares_version: bool = True
    confirms_first_look: bool = True


@attrs.frozen(kw_only=True)
class State:
    """One state.

    Attributes
    ----------
    chain : tuple of (int, int)
        By version: whose change it is, and the version that it was made for.
    phase, base, swaps : tuple
        Of each operator: where it is, the version its swap expects, swaps sent.
    late : frozenset of (int, int)
        Swaps on their way: operator and expected version.
    held, ready : tuple
        Version in force at each daemon, and whether it takes traffic.
    served : tuple of int
        Highest version by which each daemon's VM took traffic.
    offers : frozenset of int
        Versions in messages between daemons, which are never forgotten.
    """

    chain: tuple[tuple[int, int], ...] = ()
    phase: tuple[str, ...] = (IDLE,) * OPERATORS
    base: tuple[int, ...] = (0,) * OPERATORS
    swaps: tuple[int, ...] = (0,) * OPERATORS
    late: frozenset[tuple[int, int]] = frozenset()
    held: tuple[int, ...] = (0,) * DAEMONS
    ready: tuple[bool, ...] = (False,) * DAEMONS
    served: tuple[int, ...] = (0,) * DAEMONS
    offers: frozenset[int] = frozenset()
    restarts: int = 0


Step = tuple[str, State]
FIELDS = tuple(field.name for field in attrs.fields(State))


def transitions(rules: Rules, state: State) -> Iterator[Step]:
    """Yield every step that may follow, with its label."""
    for operator in range(OPERATORS):
        yield from _operator_steps(rules, state, operator)
    for operator, expected in sorted(state.late):
        arrived = _arrive(rules, state, operator, expected)
        yield f"swap of operator {operator} arrives", arrived
    for daemon in range(DAEMONS):
        yield from _daemon_steps(rules, state, daemon)


def _operator_steps(rules: Rules, state: State, operator: int) -> Iterator[Step]:
    who, head = f"operator {operator}", len(state.chain)
    if state.phase[operator] == IDLE:
        yield f"{who} sends its swap", _send(state, operator, head)
    if state.phase[operator] != SENT:
        return
    if not rules.reads_back:
        yield f"{who} gives its swap up", _phase(state, operator, IDLE)
        return
    base = state.base[operator]
    yield f"{who} sends the same swap again", _send(state, operator, base)
    for seen in range(base + 1, head + 1):
        changes = [change for change, _ in state.chain[:seen]]
        if operator in changes:
            yield f"{who} finds its change", _phase(state, operator, WON)
        else:
            yield f"{who} learns who won", _phase(state, operator, LOST)
            yield f"{who} rebases", _phase(state, operator, IDLE)


def _send(state: State, operator: int, expected: int) -> State:
    count = state.swaps[operator]
    if count == MAX_SWAPS:
        return state
    return attrs.evolve(
        state,
        phase=_put(state.phase, operator, SENT),
        base=_put(state.base, operator, expected),
        swaps=_put(state.swaps, operator, count + 1),
        late=state.late | {(operator, expected)},
    )


def _arrive(rules: Rules, state: State, operator: int, expected: int) -> State:
    late = state.late - {(operator, expected)}
    holds = len(state.chain) == expected or not rules.compares_head
    if not holds or len(state.chain) == MAX_VERSION:
        return attrs.evolve(state, late=late)
    return attrs.evolve(state, late=late, chain=(*state.chain, (operator, expected)))


def _daemon_steps(rules: Rules, state: State, daemon: int) -> Iterator[Step]:
    who, head = f"daemon {daemon}", len(state.chain)
    for seen in range(1, head + 1):
        taken = _take(rules, state, daemon, seen)
        if seen == head or not rules.confirms_first_look:
            taken = attrs.evolve(taken, ready=_put(taken.ready, daemon, True))
        yield f"{who} reads head {seen}", _serve(taken, daemon)
    for version in sorted(state.offers):
        taken = _take(rules, state, daemon, version)
        yield f"{who} is offered version {version}", _serve(taken, daemon)
    if state.held[daemon] and state.restarts < MAX_RESTARTS:
        fresh = attrs.evolve(
            state,
            held=_put(state.held, daemon, 0),
            ready=_put(state.ready, daemon, False),
            restarts=state.restarts + 1,
        )
        yield f"{who} restarts", fresh


def _take(rules: Rules, state: State, daemon: int, version: int) -> State:
    if version <= state.held[daemon] and rules.compares_version:
        return state
    held = _put(state.held, daemon, version)
    return attrs.evolve(state, held=held, offers=state.offers | {version})


def _serve(state: State, daemon: int) -> State:
    """Let a daemon that is ready take traffic by the version that it holds."""
    if not state.ready[daemon]:
        return state
    highest = max(state.served[daemon], state.held[daemon])
    return attrs.evolve(state, served=_put(state.served, daemon, highest))


def _phase(state: State, operator: int, phase: str) -> State:
    return attrs.evolve(state, phase=_put(state.phase, operator, phase))


def _put(values: tuple, index: int, value) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


def _changes(state: State) -> list[int]:
    return [change for change, _ in state.chain]


def _applied_once(state: State) -> bool:
    return len(set(_changes(state))) == len(state.chain)


def _made_for_its_version(state: State) -> bool:
    return all(base == place for place, (_, base) in enumerate(state.chain))


def _told_truly(state: State) -> bool:
    applied = _changes(state)
    return all(
        phase not in (WON, LOST) or (phase == WON) == (operator in applied)
        for operator, phase in enumerate(state.phase)
    )


def _never_reverts(state: State) -> bool:
    daemons = zip(state.ready, state.held, state.served, strict=True)
    return all(held >= served for ready, held, served in daemons if ready)


INVARIANTS: dict[str, Callable[[State], bool]] = {
    "a change is applied once": _applied_once,
    "a change is applied to the version it was made for": _made_for_its_version,
    "operators are told the truth": _told_truly,
    "no daemon serves a lower version than before": _never_reverts,
}
PLANTED = {
    "swap without compare": Rules(compares_head=False),
    "no read-back": Rules(reads_back=False),
    "version compare dropped": Rules(compares_version=False),
    "first look may be old": Rules(confirms_first_look=False),
}


def protocol(name: str, rules: Rules) -> minicheck.Protocol:
    """Return the specification under some rules, for the checker."""

    def steps(values: tuple) -> list[tuple[str, tuple]]:
        state = State(**dict(zip(FIELDS, values, strict=True)))
        return [
            (label, _values(after))
            for label, after in transitions(rules, state)
            if after != state
        ]

    def predicate(holds: Callable[[State], bool]) -> Callable[[dict], bool]:
        return lambda values: holds(State(**values))

    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=FIELDS,
        initial=_values(State()),
        transitions=steps,
        invariants={text: predicate(holds) for text, holds in INVARIANTS.items()},
    )


def _values(state: State) -> tuple:
    return tuple(getattr(state, name) for name in FIELDS)


def models() -> list[tuple[minicheck.Protocol, bool]]:
    """Return the specifications, each with whether all its invariants must hold."""
    planted = [
        (protocol(f"configuration: {name}", rules), False)
        for name, rules in PLANTED.items()
    ]
    return [(protocol("configuration", Rules()), True), *planted]
