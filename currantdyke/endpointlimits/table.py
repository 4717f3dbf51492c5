"""What one daemon knows of the limits that endpoints name, and its token buckets."""

import enum
import heapq
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
# Of a daemon that grants in place of an owner of a cold endpoint: in any second, what
# both have in hand and the turns of two daemons that are alone stay within 5 requests,
# for rates of at least 10, or if the owner has used one of its tokens before.
SUBSTITUTE_CAPACITY = 1.0
# A token that less urgent requests leave to others.
URGENT_RESERVE = 1.0
# A daemon asks the owner again after this time at the latest: the limit may have ended.
MAX_HOLD_SECONDS = 4.0
# Beyond this, a limit has probably changed before the caller comes back.
MAX_RETRY_SECONDS = 8.0


class Role(enum.Enum):
    """How a daemon takes part in a limit.

    ``OWNER`` grants the requests of the fleet; ``ASKING`` asks the owner; ``ALONE``
    can't reach it, and has a small part of the limit. ``SUBSTITUTE`` grants requests to
    a cold endpoint in place of an owner that does not respond, which may be cut off and
    grant them too: it has the parts of the daemons that ask it.
    """

    OWNER = "owner"
    SUBSTITUTE = "substitute"
    ASKING = "asking"
    ALONE = "alone"


@attrs.define(kw_only=True, eq=False)
class EndpointLimit:
    """A limit that an endpoint has named, or that holds while it is cold, or both.

    Attributes
    ----------
    born : int
        Start of the endpoint's lifetime.
    rate : float or None
        Requests per second; None if the endpoint names no limit, or no longer.
    cold_rate : float or None
        Requests per second while the endpoint is cold; None if it is warm.
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
    cold_rate: float | None = None
    role: Role = Role.ASKING
    held_until: dict[bool, float] = attrs.field(
        factory=lambda: {False: -math.inf, True: -math.inf}
    )
    retry_slot_at: float = -math.inf

    @property
    def lowest_rate(self) -> float | None:
        """The rate that counts, the lower one of both; None if there is none."""
        rates = [rate for rate in (self.rate, self.cold_rate) if rate is not None]
        return min(rates, default=None)

    def set_cold_rate(self, rate: float | None) -> None:
        """Begin, change or end the limit of a cold endpoint.

        What this daemon or others have granted to an endpoint before it turned cold
        does not count for it, so that all begin without tokens.
        """
        if self.cold_rate is None and rate is not None:
            self.role = Role.ASKING
        self.cold_rate = rate

    def effective_rate(self, role: Role, daemons: int, *, asking: int = 0) -> float:
        """Return the requests per second that a daemon in this role may grant.

        Parameters
        ----------
        asking : int
            Daemons for which a substitute grants, itself included.
        """
        share = 1.0
        if role is Role.SUBSTITUTE:
            share = ALONE_SHARE * min(1.0, asking / max(1, daemons))
        elif role is not Role.OWNER:
            share = ALONE_SHARE / max(1, daemons)
        if self.cold_rate is None:
            return max(MIN_RATE, self.rate or 0.0) * share
        cold = self.cold_rate * share
        if self.rate is None:
            return cold
        return min(cold, max(MIN_RATE, self.rate) * share)

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
    cold_rate : callable
        Returns the requests per second that a lifetime of an endpoint accepts since it
        is cold; None if it is warm.
    fewer_tokens : callable
        Returns how many tokens fewer an owner may have of a cold endpoint's limit.
    """

    limits: dict[str, EndpointLimit] = attrs.field(factory=dict)
    position: Callable[[], float] = lambda: 0.0
    cold_rate: Callable[[str, int], float | None] = lambda instance, born: None
    fewer_tokens: Callable[[], float] = lambda: 0.0

    def of(self, endpoint: Endpoint) -> EndpointLimit | None:
        """Return the limit of an endpoint, or None if it has none."""
        return self.find(endpoint.instance, endpoint.born)

    def find(self, instance: str, born: int) -> EndpointLimit | None:
        """Return the limit of a lifetime of an endpoint, or None if it has none."""
        cold_rate = self.cold_rate(instance, born)
        limit = self.limits.get(instance)
        if cold_rate is not None and (limit is None or limit.born < born):
            limit = self._add(instance, born, None, -math.inf)
        if limit is None or limit.born != born:
            return None
        limit.set_cold_rate(cold_rate)
        return None if limit.lowest_rate is None else limit

    def is_named(self, instance: str) -> bool:
        """Return whether an endpoint has named a limit, which may have ended."""
        limit = self.limits.get(instance)
        return limit is not None and limit.named_at > -math.inf

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
            self._add(instance, born, rate, named_at)
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
        asking: int = 0,
        reserve: float = 0.0,
    ) -> float:
        """Take a token in this role; return 0, or the seconds until there is one.

        Parameters
        ----------
        asking : int
            Daemons for which a substitute grants, itself included.
        reserve : float
            Tokens that must be left.
        """
        self.enter(limit, role, now=now, daemons=daemons, asking=asking)
        return limit.bucket.take(now, reserve=reserve)

    def enter(
        self,
        limit: EndpointLimit,
        role: Role,
        *,
        now: float,
        daemons: int,
        asking: int = 0,
    ) -> None:
        """Refill the bucket for a role; a daemon that is new in it has no tokens.

        What the daemons before it have granted is not known.
        """
        rate = limit.effective_rate(role, daemons, asking=asking)
        if limit.role is not role:
            limit.role = role
            tokens = -self.position() if role is Role.ALONE else 0.0
            limit.bucket = TokenBucket(rate=rate, tokens=tokens, updated_at=now)
        bucket = limit.bucket
        bucket.capacity = self._capacity(limit, role)
        bucket.change_rate(rate, now)
        if role is Role.ALONE and limit.cold_rate is not None:
            bucket.tokens = _without_missed_turns(bucket.tokens, 1.0 / max(1, daemons))

    def _capacity(self, limit: EndpointLimit, role: Role) -> float:
        """Return how many tokens a daemon in this role may have at once."""
        if role is Role.OWNER:
            fewer = 0.0 if limit.cold_rate is None else self.fewer_tokens()
            return max(1.0, OWNER_CAPACITY - fewer)
        if role is Role.SUBSTITUTE:
            return SUBSTITUTE_CAPACITY
        return ALONE_CAPACITY if limit.cold_rate is None else math.inf

    def _add(
        self, instance: str, born: int, rate: float | None, named_at: float
    ) -> EndpointLimit:
        limit = self.limits[instance] = EndpointLimit(
            instance=instance,
            born=born,
            rate=rate,
            named_at=named_at,
            bucket=TokenBucket(rate=0.0, tokens=0.0, updated_at=0.0),
        )
        return limit

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


def first_free_token(
    tokens: list[tuple[float, float]], *, waiting: int, seconds: float
) -> float:
    """Return when a request gets a token, or 0 if one is expected after ``seconds``.

    Parameters
    ----------
    tokens : list of (float, float)
        Of each limit, the seconds until its next token, and its rate.
    waiting : int
        Requests that get tokens before.
    """
    heapq.heapify(tokens)
    for _ in range(waiting):
        at, rate = tokens[0]
        if at > seconds:
            break
        heapq.heapreplace(tokens, (at + 1.0 / rate, rate))
    return tokens[0][0] if tokens and tokens[0][0] > seconds else 0.0


def reserved_tokens(
    role: Role, *, sheddable: bool = False, spare: bool = False
) -> float:
    """Return the tokens that a request must leave.

    Parameters
    ----------
    spare : bool
        Whether the request is only sent if no other needs the token.
    """
    if role in (Role.ALONE, Role.SUBSTITUTE):
        return 0.0
    if spare:
        return OWNER_CAPACITY - 1.0
    return URGENT_RESERVE if sheddable else 0.0


def _without_missed_turns(tokens: float, width: float) -> float:
    """Return the tokens of a daemon that is alone, without those it did not use.

    Many daemons that each keep a token would send at the same time, and exceed the
    bound of a cold endpoint on one second. A turn lasts until that of the next daemon.

    Parameters
    ----------
    width : float
        Part of the time from one turn of a daemon to its next one.

    Examples
    --------
    >>> [_without_missed_turns(tokens, 0.25) for tokens in (-0.5, 1.125, 1.25, 3.5)]
    [-0.5, 1.125, 0.25, 0.5]
    """
    if tokens < 1.0 + width:
        return tokens
    return width + math.fmod(tokens - width, 1.0)


def _limit_of(rate: float | None) -> float:
    return math.inf if rate is None else rate
