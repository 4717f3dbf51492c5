"""What can be asked of a slice of claims, and what it answers."""

from collections.abc import Callable

import anyio
import attrs
from expression import Result

from currantdyke.claims.records import Record, State
from currantdyke.store import Unavailable, Unsettled

__all__ = [
    "ClaimAnswer",
    "ClaimError",
    "Decision",
    "Granted",
    "Operation",
    "Recorded",
    "Taken",
    "decide_claim",
    "decide_end",
]

Lookup = Callable[[bytes], Record | None]


@attrs.frozen(kw_only=True)
class Granted:
    """The claim stands: the request may run, once."""


@attrs.frozen(kw_only=True)
class Recorded:
    """The end of a request stands."""


@attrs.frozen(kw_only=True)
class Taken:
    """Another request holds the key, or this one has given it up."""

    record: Record


ClaimAnswer = Granted | Recorded | Taken
ClaimError = Unavailable | Unsettled


@attrs.frozen(kw_only=True)
class Decision:
    """An answer, and the record that must be written before it is given."""

    answer: ClaimAnswer
    write: Record | None = None


@attrs.define(kw_only=True, eq=False)
class Operation:
    """One question to a slice, waiting for its answer.

    Attributes
    ----------
    record : Record
        The record that the asker wants to stand.
    decide : callable
        Decides from what stands: `decide_claim` or `decide_end`.
    urgent : bool
        Whether it is written at once or may wait for company.
    given_up : bool
        The asker is gone; the operation is dropped if it has not been written.
    """

    digest: bytes
    record: Record
    decide: Callable[["Operation", Lookup], Decision]
    urgent: bool = True
    asked: float
    given_up: bool = False
    answer: Result[ClaimAnswer, ClaimError] | None = None
    answered: anyio.Event = attrs.field(factory=anyio.Event)

    def settle(self, answer: Result[ClaimAnswer, ClaimError]) -> None:
        """Give the answer."""
        self.answer = answer
        self.answered.set()


def decide_claim(operation: Operation, lookup: Lookup) -> Decision:
    """Grant a key that is free, released by another, or already the asker's."""
    found, asked = lookup(operation.digest), operation.record
    if found is None:
        return Decision(answer=Granted(), write=asked)
    if found.request_id == asked.request_id:
        if found.state is State.CLAIMED:
            return Decision(answer=Granted())
        return Decision(answer=Taken(record=found))
    if found.state is State.RELEASED:
        return Decision(answer=Granted(), write=asked)
    return Decision(answer=Taken(record=found))


def decide_end(operation: Operation, lookup: Lookup) -> Decision:
    """Record how a request ended, unless the key is another's.

    The end of a request without a claim is written too: a claim of it that is
    still under way then finds the key released.
    """
    found, ended = lookup(operation.digest), operation.record
    if found is None:
        return Decision(answer=Recorded(), write=ended)
    if found.request_id != ended.request_id:
        if found.state is State.RELEASED:
            return Decision(answer=Recorded(), write=ended)
        return Decision(answer=Taken(record=found))
    if found.state is not State.CLAIMED:
        return Decision(answer=Recorded())
    return Decision(answer=Recorded(), write=ended)
