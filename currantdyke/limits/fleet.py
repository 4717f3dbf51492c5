"""Each daemon's part of each workspace's limit, by demand.

A workspace has an owner among the daemons. Daemons tell it what is asked of them;
where that is more than the limit in sum, the owner tells each its part.
"""

import collections
from collections.abc import Callable, Iterable

import attrs
import xxhash

from currantdyke.core import Failure, FailureKind
from currantdyke.limits.bucket import TokenBucket
from currantdyke.limits.demand import DemandBook
from currantdyke.membership import Membership
from currantdyke.peers import Message, MessageKind, Rate

__all__ = ["FleetLimits", "TICK_SECONDS"]

MAX_OWNERS = 128
DAEMONS_PER_PERIOD_SECOND = 49.0
TICK_SECONDS = 1.0
KEEP_PERIODS = 3.0
REPORT_SHARE = 0.1
SMOOTHING = 0.3
NO_DEMAND_PER_SECOND = 1e-3
MAX_METERS = 4_096
RATES_PER_MESSAGE = 16
NOT_LIMITED_PER_SECOND = 1e6
ALONE = ""


@attrs.define(kw_only=True)
class Meter:
    """What is asked of this daemon for one workspace, and its part of the limit.

    Attributes
    ----------
    offered : int
        Requests since the last period began, refused ones too.
    per_second : float
        Smoothed requests a second.
    allowed_until : float
        When the part that the owner told lapses.
    """

    limit: float
    bucket: TokenBucket
    offered: int = 0
    per_second: float = 0.0
    allowed_until: float = float("-inf")


class FleetLimits:
    """Admits requests within limits that hold over all daemons.

    Parameters
    ----------
    now : callable
        Returns the monotonic time in seconds.
    limit_of : callable
        Returns a workspace's limit in requests a second, by the bundle in force.
    """

    def __init__(self, *, now: Callable[[], float], limit_of: Callable[[str], float]):
        self.now = now
        self.limit_of = limit_of
        self.membership: Membership | None = None
        self.meters: collections.OrderedDict[str, Meter] = collections.OrderedDict()
        self.book = DemandBook()
        self.period_began: float | None = None

    def use(self, membership: Membership) -> None:
        """Hold limits together with the other daemons from now on."""
        self.membership = membership
        membership.handlers[MessageKind.DEMAND] = self._take_demand
        membership.handlers[MessageKind.ALLOWANCE] = self._take_allowance

    def refuse(self, workspace: str) -> Failure | None:
        """Count a request; return why it is refused, or None."""
        limit = self.limit_of(workspace)
        if limit >= NOT_LIMITED_PER_SECOND:
            return None
        meter = self._meter(workspace, limit)
        meter.offered += 1
        now = self.now()
        if meter.allowed_until < now:
            meter.bucket.change_rate(limit, now)
        wait = meter.bucket.take(now)
        if not wait:
            return None
        return Failure(
            kind=FailureKind.OVERLOADED,
            detail=f"workspace {workspace!r} is over its {limit:g} requests a second",
            retry_after=min(wait, self.period_seconds()),
        )

    def period_seconds(self) -> float:
        """Return how long after one report the next one is due."""
        return max(TICK_SECONDS, len(self._names()) / DAEMONS_PER_PERIOD_SECOND)

    async def tick(self) -> None:
        """Report demand, if a period has passed."""
        now = self.now()
        if self.period_began is None:
            self.period_began = now
        seconds = now - self.period_began
        if seconds < 0.9 * self.period_seconds():
            return
        self.period_began = now
        self.book.forget_before(now - KEEP_PERIODS * self.period_seconds())
        owners = self._owners()
        by_owner: dict[str, list[Rate]] = {}
        for workspace, meter in list(self.meters.items()):
            measure(meter, seconds)
            if meter.per_second < NO_DEMAND_PER_SECOND:
                del self.meters[workspace]
            elif self._is_worth_telling(meter):
                rate = Rate(workspace=workspace, per_second=meter.per_second)
                by_owner.setdefault(owner_of(workspace, owners), []).append(rate)
        for owner, rates in by_owner.items():
            await self._report(owner, rates)

    def _is_worth_telling(self, meter: Meter) -> bool:
        """Return whether a meter's demand could matter in sum."""
        even = meter.limit / len(self._names())
        return meter.per_second >= REPORT_SHARE * even

    async def _report(self, owner: str, rates: list[Rate]) -> None:
        membership = self.membership
        if membership is None or owner == membership.me.name:
            self._allow(self._divide(owner, rates))
            return
        member = membership.find_daemon(owner)
        if member is not None:
            await self._send(MessageKind.DEMAND, member.address, rates)

    async def _take_demand(self, message: Message, address: str) -> None:
        parts = self._divide(message.sender, message.rates)
        await self._send(MessageKind.ALLOWANCE, address, parts)

    async def _take_allowance(self, message: Message, address: str) -> None:
        self._allow(message.rates)

    async def _send(self, kind: MessageKind, address: str, rates: list[Rate]) -> None:
        assert self.membership is not None
        for first in range(0, len(rates), RATES_PER_MESSAGE):
            some = tuple(rates[first : first + RATES_PER_MESSAGE])
            await self.membership.link.send(kind, address, rates=some)

    def _divide(self, daemon: str, rates: Iterable[Rate]) -> list[Rate]:
        """Return a daemon's parts of the limits that demand exceeds."""
        parts = []
        for rate in rates:
            self.book.note(rate.workspace, daemon, rate.per_second, self.now())
            limit = self.limit_of(rate.workspace)
            total = self.book.total(rate.workspace)
            if total > limit:
                part = limit * rate.per_second / total
                parts.append(Rate(workspace=rate.workspace, per_second=part))
        return parts

    def _allow(self, parts: Iterable[Rate]) -> None:
        now = self.now()
        for part in parts:
            meter = self.meters.get(part.workspace)
            if meter is not None:
                meter.bucket.change_rate(part.per_second, now)
                keep = KEEP_PERIODS * self.period_seconds()
                meter.allowed_until = now + keep

    def _meter(self, workspace: str, limit: float) -> Meter:
        meter = self.meters.get(workspace)
        if meter is None:
            bucket = TokenBucket(rate=limit, tokens=1.0, at=self.now())
            meter = self.meters[workspace] = Meter(limit=limit, bucket=bucket)
            if len(self.meters) > MAX_METERS:
                self.meters.popitem(last=False)
        meter.limit = limit
        return meter

    def _names(self) -> list[str]:
        if self.membership is None:
            return [ALONE]
        return [member.name for member in self.membership.live_members()]

    def _owners(self) -> list[str]:
        ranked = sorted(
            self._names(), key=lambda n: xxhash.xxh64_intdigest(f"limits/{n}".encode())
        )
        return ranked[:MAX_OWNERS]


def measure(meter: Meter, seconds: float) -> None:
    """Blend the latest period into a meter's rate and begin the next one."""
    latest = meter.offered / seconds
    meter.offered = 0
    if not meter.per_second:
        meter.per_second = latest
    meter.per_second += SMOOTHING * (latest - meter.per_second)


def owner_of(workspace: str, owners: list[str]) -> str:
    """Return the owner of a workspace's limit, by rendezvous hashing."""
    return max(
        owners, key=lambda n: xxhash.xxh64_intdigest(f"{workspace}/{n}".encode())
    )
