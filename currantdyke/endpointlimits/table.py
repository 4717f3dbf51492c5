"""What one daemon knows of the limits that endpoints name, and its token buckets."""

import enum
import math
from collections.abc import Callable

import attrs

from currantdyke.catalog import Endpoint
from currantdyke.limits.bucket import TokenBucket

__all__ = ["EndpointLimit", "LimitTable", "Role"]

# An endpoint that gets no requests can't state that its limit has ended.
MIN_RATE = 0.25
# Part of a limit that the daemons which can't reach its owner use, all together. The
# users allow half; the rest is for those whose turns come close to each other.
ALONE_SHARE = 0.4
# The owner's tokens that may be used at once. In any 4 s, the fleet then sends 6 times
# the limit, and 3 requests more; the users allow 5 more.
OWNER_CAPACITY = 3.0
ALONE_CAPACITY = 1.0
# A token that less urgent requests leave to others.
URGENT_RESERVE = 1.0
# A daemon asks the owner again after this time at the latest: the limit may have ended.
MAX_HOLD_SECONDS = 4.0
# Beyond this, a limit has probably changed before the caller comes back.
MAX_RETRY_SECONDS = 8.0


class Role(enum.Enum):
    """How a daemon takes part in a limit.

    ``OWNER`` grants the requests of the fleet; ``ASKING`` asks the owner; ``ALONE``
    can't reach it, and has a small part of the limit.
    """

    OWNER = "owner"
    ASKING = "asking"
    ALONE = "alone"


@attrs.define(kw_only=True, eq=False)
class EndpointLimit:
    """A limit that an endpoint has named.

    Attributes
    ----------
    born : int
        Start of the endpoint's lifetime.
    rate : float or None
        Requests per second; None once the endpoint names no limit.
    named_at : float
        Monotonic time in seconds of the answer that says so.
    bucket : TokenBucket
        Tokens that this daemon grants; empty at each change of its role.
    held_until : dict of bool to float
        Until when the owner grants this daemon no request, by whether it is sheddable.
    retry_slot_at : float
        Time at which the caller that was refused last should retry.
    """

    instance: str
    born: int
    rate: float | None
    named_at: float
    bucket: TokenBucket
    role: Role = Role.ASKING
    held_until: dict[bool, float] = attrs.field(
        factory=lambda: {False: -math.inf, True: -math.inf}
    )
    retry_slot_at: float = -math.inf

    def effective_rate(self, role: Role, daemons: int) -> float:
        """Return the requests per second that a daemon in this role may grant."""
        rate = max(MIN_RATE, self.rate or 0.0)
        if role is Role.OWNER:
            return rate
        return rate * ALONE_SHARE / max(1, daemons)

    def caller_rate(self, daemons: int) -> float:
        """Return the rate at which the refused callers of one daemon come back."""
        return self.effective_rate(Role.OWNER, daemons) / max(1, daemons)


@attrs.define(kw_only=True, eq=False)
class LimitTable:
    """Limits by the instance of the endpoint that named them.

    Attributes
    ----------
    position : callable
        Returns the place of this daemon among all, from 0 to 1. It spreads evenly when
        daemons that lose the owner at once send requests of their own; at random, more
        of them than allowed would send within a few seconds.
    """

    limits: dict[str, EndpointLimit] = attrs.field(factory=dict)
    position: Callable[[], float] = lambda: 0.0

    def of(self, endpoint: Endpoint) -> EndpointLimit | None:
        """Return the limit of an endpoint, or None if it names none."""
        if not self.limits:
            return None
        limit = self.limits.get(endpoint.instance)
        if limit is None or limit.rate is None or limit.born != endpoint.born:
            return None
        return limit

    def record(
        self,
        instance: str,
        born: int,
        rate: float | None,
        *,
        sent_at: float,
        heard_at: float,
    ) -> bool:
        """Record what an answer names; return whether the limit has changed.

        Answers overtake each other. Only the answer to a request that was sent after
        the limit was named is certainly newer; of others, the lower limit holds.

        Parameters
        ----------
        rate : float or None
            None if the answer names no limit.
        sent_at, heard_at : float
            Times of the request and of its answer.
        """
        known = self.limits.get(instance)
        if known is None or known.born < born:
            return rate is not None and self.adopt(instance, born, rate, heard_at)
        if born < known.born:
            return False
        is_newer = sent_at > known.named_at
        before = known.rate
        if is_newer or _limit_of(rate) < _limit_of(known.rate):
            known.rate = rate
        if is_newer or rate is not None:
            known.named_at = max(known.named_at, heard_at)
        return known.rate != before

    def adopt(
        self, instance: str, born: int, rate: float | None, named_at: float
    ) -> bool:
        """Take over what another daemon knows, if it is newer; return whether it is."""
        known = self.limits.get(instance)
        if known is None or known.born < born:
            self.limits[instance] = EndpointLimit(
                instance=instance,
                born=born,
                rate=rate,
                named_at=named_at,
                bucket=TokenBucket(rate=0.0, tokens=0.0, updated_at=named_at),
            )
            return True
        if born < known.born or named_at <= known.named_at:
            return False
        changed = known.rate != rate
        known.rate, known.named_at = rate, named_at
        return changed

    def take(
        self,
        limit: EndpointLimit,
        role: Role,
        *,
        now: float,
        daemons: int,
        reserve: float = 0.0,
    ) -> float:
        """Take a token in this role; return 0, or the seconds until there is one.

        Parameters
        ----------
        reserve : float
            Tokens that must be left.
        """
        self.enter(limit, role, now=now, daemons=daemons)
        return limit.bucket.take(now, reserve=reserve)

    def enter(
        self, limit: EndpointLimit, role: Role, *, now: float, daemons: int
    ) -> None:
        """Refill the bucket for a role; a daemon that is new in it has no tokens.

        What the daemons before it have granted is not known.
        """
        rate = limit.effective_rate(role, daemons)
        if limit.role is not role:
            limit.role = role
            tokens = 0.0 if role is Role.OWNER else -self.position()
            capacity = OWNER_CAPACITY if role is Role.OWNER else ALONE_CAPACITY
            limit.bucket = TokenBucket(
                rate=rate, tokens=tokens, updated_at=now, capacity=capacity
            )
        limit.bucket.change_rate(rate, now)

    def hold(
        self, limit: EndpointLimit, seconds: float, *, now: float, sheddable: bool
    ) -> None:
        """Ask the owner for no request like this one for a time."""
        until = now + min(seconds, MAX_HOLD_SECONDS)
        limit.held_until[True] = max(limit.held_until[True], until)
        if not sheddable:
            limit.held_until[False] = until

    def forget(self, instance: str) -> None:
        """Remove the limit of an endpoint that is gone."""
        self.limits.pop(instance, None)


def next_retry_slot(
    limit: EndpointLimit, wait: float, rate: float, now: float
) -> float:
    """Return after how many seconds a refused caller should retry.

    Callers that are refused one after another get retry times that follow each other
    at the rate of the limit.
    """
    last = now + MAX_RETRY_SECONDS
    limit.retry_slot_at = min(last, max(limit.retry_slot_at + 1.0 / rate, now + wait))
    return limit.retry_slot_at - now


def reserved_tokens(
    role: Role, *, sheddable: bool = False, spare: bool = False
) -> float:
    """Return the tokens that a request must leave.

    Parameters
    ----------
    spare : bool
        Whether the request is only sent if no other needs the token.
    """
    if role is Role.ALONE:
        return 0.0
    if spare:
        return OWNER_CAPACITY - 1.0
    return URGENT_RESERVE if sheddable else 0.0


def _limit_of(rate: float | None) -> float:
    return math.inf if rate is None else rate
