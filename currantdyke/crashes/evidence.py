"""Find the keys that the requests under which endpoints crashed have in common."""

from collections.abc import Iterable

import attrs

from currantdyke.crashes.keys import is_request_key

__all__ = ["CrashEvent", "CrashGroup", "RunInCrash", "find_groups"]

# The users allow three further requests only after the fifth crash on a part, and after
# the third on copies of one request.
CRASHES_TO_CONDEMN = 3
# Crashes that remain beside those of any one request before a key that several requests
# share is refused; one of them may be a coincidence.
MIN_CRASHES_OF_OTHERS = 2
# Crashes on which a narrower key must be common to explain them instead.
MIN_RIVAL_CRASHES = 2
# Causes that the crashes would need otherwise, before such a key is refused.
MIN_OTHER_CAUSES = 4
# Limits the work after an outage, in which many endpoints end with all of their runs.
MAX_CANDIDATES = 32


@attrs.frozen(kw_only=True)
class RunInCrash:
    """A run that was lost in a crash, or answered shortly before it.

    Attributes
    ----------
    keys : frozenset of str
        Keys of the request.
    sent_at : float
        Monotonic time in seconds at which it was sent to the endpoint.
    began_at : float or None
        When its answer began; None if it had not, or if that is not known.
    """

    keys: frozenset[str]
    sent_at: float
    began_at: float | None = None

    @property
    def request(self) -> str:
        """The hash of the request, which its repeats share."""
        return next((key for key in self.keys if is_request_key(key)), "")


@attrs.define(kw_only=True, eq=False)
class CrashEvent:
    """The end of one lifetime of an endpoint, with the runs that were lost in it.

    Attributes
    ----------
    endpoint, born
        The lifetime, as far as the daemon that reported it first knew.
    at : float
        Monotonic time in seconds of the crash, as first reported.
    runs : list of RunInCrash
        Runs reported by any daemon.
    own : bool
        Whether this daemon lost a run in it.
    cleared : set of str
        Keys with which answers began after the crash and crashed no endpoint.
    starts : dict of str to (float, float)
        When the first and the last run with each key started: the answer, or else the
        sending of the request.
    """

    endpoint: str
    born: int
    at: float
    own: bool = False
    runs: list[RunInCrash] = attrs.field(factory=list)
    cleared: set[str] = attrs.field(factory=set)
    starts: dict[str, tuple[float, float]] = attrs.field(init=False, factory=dict)

    def __attrs_post_init__(self) -> None:
        """Index the runs that are known from the start."""
        for run in self.runs:
            self._index(run)

    def add_run(self, run: RunInCrash) -> None:
        """Add a run that was lost in the crash."""
        self.runs.append(run)
        self._index(run)

    def _index(self, run: RunInCrash) -> None:
        start = run.sent_at if run.began_at is None else run.began_at
        for key in run.keys:
            first, last = self.starts.get(key, (start, start))
            self.starts[key] = min(first, start), max(last, start)

    def may_contain(self, run: RunInCrash, born: int, at: float, slack: float) -> bool:
        """Whether a run that was lost at some time may have been lost in this crash.

        A run that was sent after a crash belongs to a later lifetime, whichever one the
        directory names.

        Parameters
        ----------
        slack : float
            Seconds by which the reports of two daemons on one crash may differ.
        """
        if born != self.born and abs(at - self.at) > slack:
            return False
        last_sent = max((other.sent_at for other in self.runs), default=run.sent_at)
        return run.sent_at < self.at + slack and last_sent < at + slack

    def delays(self, key: str) -> tuple[float, float] | None:
        """Return how long the first and the last run with a suspected key had gone on.

        None if the key is not suspected of this crash.
        """
        if key not in self.starts or key in self.cleared:
            return None
        first, last = self.starts[key]
        return max(0.0, self.at - first), max(0.0, self.at - last)

    def suspects(self) -> frozenset[str]:
        """Return the keys that may have caused the crash."""
        return frozenset(self.starts.keys() - self.cleared)

    def is_explained_by(self, keys: frozenset[str]) -> bool:
        """Whether one of the runs had all of these keys."""
        return any(keys <= run.keys for run in self.runs)


@attrs.frozen(kw_only=True)
class CrashGroup:
    """Crashes with a common cause, and the keys that may be the cause."""

    keys: frozenset[str]
    events: tuple[CrashEvent, ...]


def find_groups(
    events: Iterable[CrashEvent], *, refused: Iterable[frozenset[str]] = ()
) -> list[CrashGroup]:
    """Return the groups of crashes whose common keys are to be refused.

    The groups with the most crashes come first. What a refused part explains says
    nothing about the keys beside it.

    Parameters
    ----------
    refused : iterable of frozenset of str
        Keys that are refused already; requests with more keys are not returned again.

    Examples
    --------
    >>> def crash(name, at, *runs):
    ...     lost = [RunInCrash(keys=frozenset(r.split()), sent_at=at) for r in runs]
    ...     return CrashEvent(endpoint=name, born=1, at=at, runs=lost)
    >>> events = [crash("a", 1.0, "first bad request:1", "first good request:2")]
    >>> events.append(crash("b", 2.0, "first bad request:3"))
    >>> find_groups(events)
    []
    >>> events.append(crash("c", 3.0, "first bad request:4"))
    >>> events.append(crash("d", 4.0, "first bad request:5"))
    >>> [group] = find_groups(events)
    >>> sorted(group.keys)
    ['bad', 'first']
    """
    known = list(refused)
    shared = [keys for keys in known if not any(map(is_request_key, keys))]
    left = [
        event
        for event in events
        if not any(event.is_explained_by(keys) for keys in shared)
    ]
    groups: list[CrashGroup] = []
    for group in _supported_groups(left):
        if any(keys <= group.keys for keys in known):
            continue
        groups.append(group)
        if not any(map(is_request_key, group.keys)):
            rest = [event for event in left if not event.is_explained_by(group.keys)]
            return groups + find_groups(rest, refused=[*known, group.keys])
    return groups


def _supported_groups(events: list[CrashEvent]) -> list[CrashGroup]:
    suspects = {id(event): event.suspects() for event in events}
    by_key: dict[str, list[CrashEvent]] = {}
    for event in events:
        for key in sorted(suspects[id(event)]):
            by_key.setdefault(key, []).append(event)
    candidates = dict.fromkeys(
        tuple(members)
        for members in by_key.values()
        if len(members) >= CRASHES_TO_CONDEMN
    )
    groups = []
    larger: list[frozenset[CrashEvent]] = []
    for members in sorted(candidates, key=len, reverse=True)[:MAX_CANDIDATES]:
        common = frozenset.intersection(*(suspects[id(event)] for event in members))
        keys = _common_to_runs(common, members)
        # A key that explains these crashes and others is the better explanation, until
        # it is cleared.
        is_part_of_larger = any(other > frozenset(members) for other in larger)
        larger.append(frozenset(members))
        if keys is None or (is_part_of_larger and not any(map(is_request_key, keys))):
            continue
        if _is_supported(keys, common, members):
            groups.append(CrashGroup(keys=keys, events=members))
    return groups


def _common_to_runs(
    common: frozenset[str], members: tuple[CrashEvent, ...]
) -> frozenset[str] | None:
    """Return the most of the common keys that one run in each crash had together.

    None if there is more than one such set: the next answers or crashes tell which.
    """
    shared = {common & run.keys for event in members for run in event.runs}
    shared = {
        keys
        for keys in shared
        if keys and all(event.is_explained_by(keys) for event in members)
    }
    largest = [keys for keys in shared if not any(keys < other for other in shared)]
    if len(largest) != 1:
        return None
    # The hash alone stands for a request with all of its parts.
    return frozenset(filter(is_request_key, largest[0])) or largest[0]


def _is_supported(
    keys: frozenset[str], common: frozenset[str], members: tuple[CrashEvent, ...]
) -> bool:
    if not _was_sent_after_first(keys, members):
        return False
    if any(is_request_key(key) for key in keys):
        return True
    outside = len(members) - _crashes_of_one_request(keys, members)
    if outside < MIN_CRASHES_OF_OTHERS:
        return False
    return _count_other_causes(keys, common, members) >= MIN_OTHER_CAUSES


def _was_sent_after_first(
    keys: frozenset[str], members: tuple[CrashEvent, ...]
) -> bool:
    """Whether a run with the keys was sent after the first crash.

    Runs that are lost when VMs fail together were all sent before.
    """
    first = min(event.at for event in members)
    return any(
        run.sent_at > first and keys <= run.keys
        for event in members
        for run in event.runs
    )


def _crashes_of_one_request(
    keys: frozenset[str], members: tuple[CrashEvent, ...]
) -> int:
    """Return the most crashes that repeats of a single request may have caused."""
    counts: dict[str, int] = {}
    for event in members:
        requests = {run.request for run in event.runs if keys <= run.keys}
        for request in requests:
            counts[request] = counts.get(request, 0) + 1
    return max(counts.values())


def _count_other_causes(
    keys: frozenset[str], common: frozenset[str], members: tuple[CrashEvent, ...]
) -> int:
    """Return how many causes the crashes would need if these keys were not the cause.

    Another cause is a key that different requests share in some of the crashes, or
    coincidence in a single one.
    """
    rivals = _rivals(keys, common, members)
    left = set(range(len(members)))
    count = 0
    while rivals:
        largest = max(rivals, key=lambda crashes: len(crashes & left))
        if len(largest & left) < MIN_RIVAL_CRASHES:
            break
        left -= largest
        count += 1
    return count + len(left)


def _rivals(
    keys: frozenset[str], common: frozenset[str], members: tuple[CrashEvent, ...]
) -> list[frozenset[int]]:
    """Return for each narrower cause the indices of the crashes that it explains."""
    crashes: dict[str, set[int]] = {}
    requests: dict[str, set[str]] = {}
    for index, event in enumerate(members):
        for run in event.runs:
            if not keys <= run.keys:
                continue
            for key in run.keys - common - event.cleared:
                crashes.setdefault(key, set()).add(index)
                requests.setdefault(key, set()).add(run.request)
    return [
        frozenset(indices)
        for key, indices in crashes.items()
        if len(indices) >= MIN_RIVAL_CRASHES and len(requests[key]) > 1
    ]
