"""Which endpoints are leaving, from all that say so.

An endpoint is one life of a VM: its name, its URL and, where it tells one, its
incarnation. That it leaves is sticky for that life. A new incarnation at the same
address is a new endpoint; the end of an old life never speaks of a new one, and a
late word that an old life is alive changes nothing.
"""

import collections
from collections.abc import Callable, Iterable

import attrs

from currantdyke.endpoints.table import Endpoint, EndpointTable
from currantdyke.peers import Fact
from currantdyke.platformlist import VmEntry
from currantdyke.stagecalls import EndpointWord

__all__ = ["KEEP_SECONDS", "LEAVING_PREFIX", "RENEWED_PREFIX", "EndpointLiveness"]

LEAVING_PREFIX = "leaving/"
RENEWED_PREFIX = "renewed/"
KEEP_SECONDS = 3_600.0
OWN_WORD_SECONDS = 120.0
MAX_MARKS = 8_192
MAX_NAMES = 16_384


@attrs.define(kw_only=True)
class Life:
    """What is known of the VM of a name.

    Attributes
    ----------
    incarnation : str
        The life that counts; empty while none was told.
    heard : float
        When the endpoint itself last told its incarnation.
    """

    incarnation: str = ""
    heard: float = float("-inf")


class EndpointLiveness:
    """Keeps the ``leaving`` marks of a table's endpoints.

    Parameters
    ----------
    table : EndpointTable
        The endpoints that get the marks.
    now : callable
        Returns the monotonic time in seconds.
    note : callable
        Called with a name and a source when an endpoint is first heard to leave.
    """

    def __init__(
        self,
        *,
        table: EndpointTable,
        now: Callable[[], float],
        note: Callable[[str, str], None] = lambda name, source: None,
    ):
        self.table = table
        self.now = now
        self.note = note
        self.share: Callable[[str, str], None] = lambda key, value: None
        self.lives: dict[str, Life] = {}
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
        life = self.lives.get(name)
        expires = self.marks.get((name, life.incarnation if life else ""))
        return expires is not None and expires > self.now()

    def hear_word(self, endpoint: Endpoint, word: EndpointWord) -> None:
        """Take in what an endpoint said of itself with an answer."""
        if word.incarnation:
            self._hear_alive(endpoint.name, word.incarnation, own_word=True)
        if word.leaving:
            self._hear_leaving(endpoint.name, word.incarnation, "own word")

    def take_list(self, entries: Iterable[VmEntry]) -> None:
        """Take in the platform's list, which lags."""
        for entry in entries:
            if entry.leaving:
                self._hear_leaving(entry.name, entry.incarnation, "platform's list")
            elif entry.incarnation:
                self._hear_alive(entry.name, entry.incarnation, own_word=False)

    def take_fact(self, fact: Fact) -> None:
        """Take in a peer's word that an endpoint leaves."""
        _, name, incarnation = fact.key.split("/", 2)
        self._hear_leaving(name, incarnation, "peer", fact.remaining_seconds)

    def take_renewal(self, fact: Fact) -> None:
        """Take in a peer's word that a VM told of a new life."""
        name = fact.key.removeprefix(RENEWED_PREFIX)
        self._hear_alive(name, fact.value, own_word=False)
        self._life(name).heard = self.now()

    def forget_old(self) -> None:
        """Drop the marks that hold no longer."""
        now = self.now()
        for key in [key for key, expires in self.marks.items() if expires <= now]:
            del self.marks[key]
        self.follow()

    def _hear_leaving(
        self, name: str, incarnation: str, source: str, seconds: float = KEEP_SECONDS
    ) -> None:
        life = self._life(name)
        incarnation = incarnation or life.incarnation
        if (name, incarnation) in self.marks:
            return
        if not life.incarnation or source == "peer" and not self._heard_itself(life):
            life.incarnation = incarnation
        self._mark(name, incarnation, seconds)
        self.note(name, source)
        if source != "peer":
            self.share(f"{LEAVING_PREFIX}{name}/{incarnation}", source)
        self._apply(name)

    def _hear_alive(self, name: str, incarnation: str, *, own_word: bool) -> None:
        life = self._life(name)
        if own_word and incarnation == life.incarnation:
            life.heard = self.now()
        if incarnation == life.incarnation or (name, incarnation) in self.marks:
            return
        if not own_word and self._heard_itself(life):
            return
        if life.incarnation:
            self._mark(name, life.incarnation, KEEP_SECONDS)
            self.table.renew(name)
            if own_word:
                self.share(RENEWED_PREFIX + name, incarnation)
        elif (name, "") in self.marks:
            self._mark(name, incarnation, self.marks.pop((name, "")) - self.now())
        life.incarnation = incarnation
        life.heard = self.now() if own_word else life.heard
        self._apply(name)

    def _heard_itself(self, life: Life) -> bool:
        """Return whether the endpoint itself told of its life lately."""
        return self.now() - life.heard < OWN_WORD_SECONDS

    def _life(self, name: str) -> Life:
        life = self.lives.setdefault(name, Life())
        if len(self.lives) > MAX_NAMES:
            del self.lives[next(iter(self.lives))]
        return life

    def _mark(self, name: str, incarnation: str, seconds: float) -> None:
        self.marks[name, incarnation] = self.now() + seconds
        while len(self.marks) > MAX_MARKS:
            self.marks.popitem(last=False)

    def _apply(self, name: str) -> None:
        leaving = self.is_leaving(name)
        for endpoint in self.table.named(name):
            endpoint.leaving = leaving
