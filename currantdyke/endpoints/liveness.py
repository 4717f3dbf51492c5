"""Endpoints that are shutting down, as announced in their own responses.

A leaving mark applies to an endpoint's name and, if it sends one, its incarnation.
Once an endpoint has announced that it is leaving, later responses of that incarnation
do not remove the mark; it expires after ``LEAVING_MARK_SECONDS``. A new incarnation at
the same address is a new endpoint; a delayed response of an earlier incarnation does
not affect it.
"""

import collections
from collections.abc import Callable

from currantdyke.endpoints.table import Endpoint, EndpointTable
from currantdyke.stagecalls import EndpointState

__all__ = ["EndpointLiveness"]

# Time until a mark expires. A VM that sends no incarnation gets no work for this long
# after it announced that it is leaving.
LEAVING_MARK_SECONDS = 3_600.0
# Memory bounds for the design size of 4,200 endpoints, some of them restarted.
MAX_MARKS = 8_192
MAX_INCARNATIONS = 16_384


class EndpointLiveness:
    """Maintains the ``leaving`` marks of the endpoints in a table.

    Parameters
    ----------
    table : EndpointTable
        Table whose endpoints are marked.
    now : callable
        Returns the monotonic time in seconds.
    note : callable
        Called with an endpoint's name when it first announces that it is leaving.
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
        """Apply the marks to the table's endpoints after a bundle change."""
        for service in self.table.by_service:
            for endpoint in self.table.of_service(service):
                endpoint.leaving = self.is_leaving(endpoint.name)

    def is_leaving(self, name: str) -> bool:
        """Return whether the current incarnation of a VM is leaving."""
        expires = self.marks.get((name, self.incarnations.get(name, "")))
        return expires is not None and expires > self.now()

    def process_state(self, endpoint: Endpoint, state: EndpointState) -> None:
        """Process the state that an endpoint announced in a response."""
        if state.incarnation:
            self._record_incarnation(endpoint.name, state.incarnation)
        if state.leaving:
            self._record_leaving(endpoint.name, state.incarnation)

    async def remove_expired(self) -> None:
        """Drop expired marks."""
        now = self.now()
        for key in [key for key, expires in self.marks.items() if expires <= now]:
            del self.marks[key]
        self.follow()

    def _record_leaving(self, name: str, incarnation: str) -> None:
        incarnation = incarnation or self.incarnations.get(name, "")
        if (name, incarnation) in self.marks:
            return
        self._add_mark(name, incarnation, LEAVING_MARK_SECONDS)
        self.note(name)
        self._apply_mark(name)

    def _record_incarnation(self, name: str, incarnation: str) -> None:
        known = self.incarnations.get(name, "")
        if incarnation == known or (name, incarnation) in self.marks:
            return
        if known:
            self._add_mark(name, known, LEAVING_MARK_SECONDS)
            self.table.reset(name)
        elif (name, "") in self.marks:
            self._add_mark(name, incarnation, self.marks.pop((name, "")) - self.now())
        self.incarnations[name] = incarnation
        if len(self.incarnations) > MAX_INCARNATIONS:
            del self.incarnations[next(iter(self.incarnations))]
        self._apply_mark(name)

    def _add_mark(self, name: str, incarnation: str, seconds: float) -> None:
        self.marks[name, incarnation] = self.now() + seconds
        while len(self.marks) > MAX_MARKS:
            self.marks.popitem(last=False)

    def _apply_mark(self, name: str) -> None:
        leaving = self.is_leaving(name)
        for endpoint in self.table.named(name):
            endpoint.leaving = leaving
