"""Permits of the weight store, shared by all doers through the platform's store."""

import random

import attrs

from currantdyke.store import Store

__all__ = ["LoadPermits"]

DUTY = "placement"
PREFIX = "currantdyke/placement/permit"


@attrs.define(kw_only=True, eq=False)
class LoadPermits:
    """At most ``count`` loads are begun in any ``seconds``.

    A permit is a key that lapses by itself; nobody gives it back, so a doer that
    dies keeps none.

    Attributes
    ----------
    count : int
        Loads that the weight store bears at once.
    seconds : int
        How long a load takes of it.
    """

    store: Store
    count: int
    seconds: int
    random_source: random.Random

    async def take(self, holder: str) -> bool:
        """Take a permit, if one is free and the store says so."""
        granted = await self.store.grant_lease(self.seconds, duty=DUTY)
        if granted.is_error():
            return False
        numbers = self.random_source.sample(range(self.count), self.count)
        for number in numbers:
            taken = await self.store.compare_and_swap(
                f"{PREFIX}/{number}",
                0,
                holder.encode(),
                duty=DUTY,
                lease=granted.ok,
            )
            if taken.is_ok():
                return True
        return False
