"""Which endpoints are leaving, as they say themselves.

An endpoint is one life of a VM: its name, its URL and, where it tells one, its
incarnation. That it leaves is sticky for that life. A new incarnation at the same
address is a new endpoint; a late answer of an old life never speaks of the new one.
"""

import collections
from collections.abc import Callable

from currantdyke.endpoints.table import Endpoint, EndpointTable
from currantdyke.stagecalls import EndpointWord

__all__ = ["EndpointLiveness"]

# A VM that tells no incarnation gets no work for as long after it said that it leaves.
KEEP_SECONDS = 3_600.0
# Bound the memory at the size to design for: 4,200 endpoints, some restarted.
MAX_MARKS = 8_192
MAX_NAMES = 16_384


class EndpointLiveness:
    """Keeps the ``leaving`` marks of a table's endpoints.

    Parameters
    ----------
    table : EndpointTable
        The endpoints that get the marks.
    now : callable
        Returns the monotonic time in seconds.
    note : callable
        Called with a name when an endpoint first says that it leaves.
    """

    def __init__(
        self,
        *,
        table: EndpointTable,
        now: Callable[[], float],
        note: Callable[[str], None] = lambda name: None,
    ):
        self.table = table
        self.now = now
        self.note = note
        self.incarnations: dict[str, str] = {}
        self.marks: collections.OrderedDict[tuple[str, str], float] = (
            collections.OrderedDict()
        )

    def follow(self) -> None:
        """Put the marks on the table's endpoints, after a change of the bundle."""
        for service in self.table.by_service:
            for endpoint in self.table.of_service(service):
                endpoint.leaving = self.is_leaving(endpoint.name)

    def is_leaving(self, name: str) -> bool:
        """Return whether the present life of a VM is leaving."""
        expires = self.marks.get((name, self.incarnations.get(name, "")))
        return expires is not None and expires > self.now()

    def hear_word(self, endpoint: Endpoint, word: EndpointWord) -> None:
        """Take in what an endpoint said of itself with an answer."""
        if word.incarnation:
            self._hear_incarnation(endpoint.name, word.incarnation)
        if word.leaving:
            self._hear_leaving(endpoint.name, word.incarnation)

    async def forget_old(self) -> None:
        """Drop the marks that hold no longer."""
        now = self.now()
        for key in [key for key, expires in self.marks.items() if expires <= now]:
            del self.marks[key]
        self.follow()

    def _hear_leaving(self, name: str, incarnation: str) -> None:
        incarnation = incarnation or self.incarnations.get(name, "")
        if (name, incarnation) in self.marks:
            return
        self._mark(name, incarnation, KEEP_SECONDS)
        self.note(name)
        self._apply(name)

    def _hear_incarnation(self, name: str, incarnation: str) -> None:
        known = self.incarnations.get(name, "")
        if incarnation == known or (name, incarnation) in self.marks:
            return
        if known:
            self._mark(name, known, KEEP_SECONDS)
            self.table.renew(name)
        elif (name, "") in self.marks:
            self._mark(name, incarnation, self.marks.pop((name, "")) - self.now())
        self.incarnations[name] = incarnation
        if len(self.incarnations) > MAX_NAMES:
            del self.incarnations[next(iter(self.incarnations))]
        self._apply(name)

    def _mark(self, name: str, incarnation: str, seconds: float) -> None:
        self.marks[name, incarnation] = self.now() + seconds
        while len(self.marks) > MAX_MARKS:
            self.marks.popitem(last=False)

    def _apply(self, name: str) -> None:
        leaving = self.is_leaving(name)
        for endpoint in self.table.named(name):
            endpoint.leaving = leaving
