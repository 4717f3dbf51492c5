"""The members that a daemon knows, and which word about one counts.

References
----------
Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process
Group Membership Protocol", 2002.
Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate
Failure Detection", 2018.
"""

import collections
from collections.abc import Callable

import attrs

from currantdyke.peers import Member, MemberStatus

__all__ = ["MemberTable"]

FORGET_SECONDS = 600.0
MAX_TOMBSTONES = 8_192
MAX_MEMBERS = 4_096
STRENGTHS = {
    MemberStatus.ALIVE: 0,
    MemberStatus.SUSPECT: 1,
    MemberStatus.DEAD: 2,
    MemberStatus.LEFT: 3,
}
GONE = frozenset((MemberStatus.DEAD, MemberStatus.LEFT))


def rank_of(member: Member) -> tuple[int, int]:
    """Return what orders the words about one member."""
    return (member.counter, STRENGTHS[member.status])


class MemberTable:
    """All members but this one, and this one's own record.

    Parameters
    ----------
    me : Member
        This daemon's own record.
    now : callable
        Returns the monotonic time in seconds.
    changed : callable
        Called with each record that is news here, before and after.
    doubted : callable
        Called with a suspicion of a member that was buried here and is said to
        be alive by others: either it refutes, or they learn of its end.
    """

    def __init__(
        self,
        *,
        me: Member,
        now: Callable[[], float],
        changed: Callable[[Member | None, Member], None],
        doubted: Callable[[Member], None],
    ):
        self.me = me
        self.now = now
        self.changed = changed
        self.doubted = doubted
        self.by_name: dict[str, Member] = {}
        self.since: dict[str, float] = {}
        self.tombstones: collections.OrderedDict[str, int] = collections.OrderedDict()
        self.refutations = 0

    def with_status(self, *statuses: MemberStatus) -> list[Member]:
        """Return the other members of these statuses."""
        return [m for m in self.by_name.values() if m.status in statuses]

    def reachable(self) -> list[Member]:
        """Return the other members that are not known to be gone."""
        return self.with_status(MemberStatus.ALIVE, MemberStatus.SUSPECT)

    def all_records(self) -> list[Member]:
        """Return every record, this daemon's own first."""
        return [self.me, *self.by_name.values()]

    def apply(self, word: Member) -> bool:
        """Take in a word about a member; return whether it is news here."""
        if word.name == self.me.name:
            return self._answer_about_me(word)
        known = self.by_name.get(word.name)
        if known is None:
            return self._meet(word)
        if rank_of(word) <= rank_of(known):
            return False
        merged = word
        if not word.address:
            merged = attrs.evolve(known, counter=word.counter, status=word.status)
        self._set(known, merged)
        return True

    def apply_second_hand(self, word: Member) -> bool:
        """Take in a word from another's whole table.

        A death there may come from a parted network: whoever is alive here is
        suspected, and may refute it, rather than taken for dead.
        """
        known = self.by_name.get(word.name)
        is_up_here = known is not None and known.status not in GONE
        if word.status is MemberStatus.DEAD and is_up_here:
            word = attrs.evolve(word, status=MemberStatus.SUSPECT)
        return self.apply(word)

    def word_for(self, name: str) -> Member | None:
        """Return what a member should hear of itself, so that it can refute."""
        known = self.by_name.get(name)
        if known is not None:
            return None if known.status is MemberStatus.ALIVE else known
        if name not in self.tombstones:
            return None
        counter = self.tombstones[name]
        return Member(name=name, counter=counter, status=MemberStatus.DEAD)

    def say(self, name: str, status: MemberStatus) -> bool:
        """Change what is believed of a member, from what was seen here."""
        known = self.by_name.get(name)
        if known is None:
            return False
        return self.apply(attrs.evolve(known, status=status))

    def leave(self) -> None:
        """State that this daemon leaves."""
        self._restate(attrs.evolve(self.me, status=MemberStatus.LEFT))

    def forget_old(self) -> None:
        """Drop members that are gone long since; keep the counters of their ends."""
        horizon = self.now() - FORGET_SECONDS
        for member in self.with_status(*GONE):
            if self.since[member.name] < horizon:
                del self.by_name[member.name]
                del self.since[member.name]
                self._bury(member)

    def _answer_about_me(self, word: Member) -> bool:
        if rank_of(word) <= rank_of(self.me):
            return False
        self.refutations += 1
        self._restate(attrs.evolve(self.me, counter=word.counter + 1))
        return True

    def _restate(self, me: Member) -> None:
        before, self.me = self.me, me
        self.changed(before, me)

    def _meet(self, word: Member) -> bool:
        if word.status in GONE:
            self._bury(word)
            return False
        buried = self.tombstones.get(word.name, -1)
        if word.counter <= buried:
            self.doubted(
                Member(name=word.name, counter=buried, status=MemberStatus.SUSPECT)
            )
            return False
        if not word.address or len(self.by_name) >= MAX_MEMBERS:
            return False
        self._set(None, word)
        return True

    def _set(self, before: Member | None, member: Member) -> None:
        self.by_name[member.name] = member
        if before is None or before.status is not member.status:
            self.since[member.name] = self.now()
        self.changed(before, member)

    def _bury(self, member: Member) -> None:
        counter = max(member.counter, self.tombstones.pop(member.name, -1))
        self.tombstones[member.name] = counter
        if len(self.tombstones) > MAX_TOMBSTONES:
            self.tombstones.popitem(last=False)
