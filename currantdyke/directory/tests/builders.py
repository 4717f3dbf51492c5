"""Directories, changes and followers for tests."""

import contextlib
import functools
import math
import os

import anyio
import msgspec

from currantdyke.core import Position
from currantdyke.decisionlog import DecisionLog
from currantdyke.directory import ChangeSet, Directory, EndpointTable, Follower
from currantdyke.links.codec import Frame, decode_frame, encode_frame
from currantdyke.platform.store import (
    Change,
    StoreUnavailableError,
    WatchCutError,
)
from currantdyke.testing.gateways import configuration, plain_route
from currantdyke.testing.virtual import run_virtual

__all__ = [
    "FakeStore",
    "HeartbeatStore",
    "HEARTBEAT_SECONDS",
    "ask",
    "build_changes",
    "build_configuration",
    "build_directory",
    "build_entry",
    "build_follower",
    "in_virtual_time",
    "tell",
]


HEARTBEAT_SECONDS = 1.2
STEP_SECONDS = 0.01


def build_directory(clock=anyio.current_time):
    """Return an empty directory whose log is discarded."""
    log = DecisionLog(daemon="d", descriptor=os.open(os.devnull, os.O_WRONLY))
    return Directory(log=log, endpoints=EndpointTable(now=clock), clock=clock)


def build_changes(era, revision, *, is_snapshot=False, age=0.0, **values):
    """Return a change set of items, all at its position; None removes an item."""
    changes = tuple(
        Change(key=key, value=value, revision=revision, era=era)
        for key, value in values.items()
    )
    return ChangeSet(
        changes=changes,
        revision=revision,
        era=era,
        is_snapshot=is_snapshot,
        age=age,
    )


def build_entry(*, state="ready", born=1):
    """Return the value of an endpoint's entry."""
    entry = {
        "service": "plain",
        "address": "10.0.0.1:80",
        "zone": "z",
        "state": state,
        "born": born,
    }
    return msgspec.json.encode(entry)


def build_configuration(
    version,
    *,
    document=None,
    age=0.0,
    revision=None,
    era=0,
    is_snapshot=False,
    routes=1,
):
    """Return a change set with a configuration, at the revision of its version."""
    if document is None:
        prefixes = [f"/plain{number}/" for number in range(routes)]
        document = msgspec.json.encode(
            configuration(version, [plain_route(prefix=prefix) for prefix in prefixes])
        )
    revision = version if revision is None else revision
    change = Change(key="op/config", value=document, revision=revision, era=era)
    return ChangeSet(
        changes=(change,),
        revision=revision,
        era=era,
        age=age,
        is_snapshot=is_snapshot,
    )


def ask(sender, receiver, position):
    """Return what one daemon knows after a position, as another asks for it."""
    changes = sender.changes_since(position)
    if receiver.seeks_after is None:
        return changes
    return sender.add_configuration(changes, receiver.seeks_after)


def tell(sender, receiver):
    """Let one daemon tell another, over a link, what it does not know yet."""
    changes = ask(sender, receiver, receiver.replica.position)
    data = encode_frame(Frame(number=1, content=changes))
    receiver.apply(decode_frame(data).ok.content, source="peer")


def in_virtual_time(test):
    """Return a method of a test case that runs at a virtual time."""

    @functools.wraps(test)
    def run_test(*arguments):
        async def run():
            return test(*arguments)

        return run_virtual(run)

    return run_test


class FakeStore:
    """A store client whose calls are answered by functions.

    ``list_all`` and ``watch`` are given as coroutine functions of the test. ``pauses``
    has the times at which reading an answer was paused and went on.
    """

    def __init__(self, *, list_all, watch=None):
        self.list_all = list_all
        self.watch = watch
        self.answer_seconds = 0.0
        self.era = 0
        self.pauses = []

    @contextlib.contextmanager
    def pause_answer(self):
        """Record a pause."""
        started = anyio.current_time()
        try:
            yield
        finally:
            self.pauses.append((started, anyio.current_time()))


class HeartbeatStore(FakeStore):
    """A store in virtual time to which endpoints write their entries.

    An entry that was not written for three heartbeats lapses, also while the store is
    away.

    Attributes
    ----------
    is_away : callable
        Returns whether the store is unavailable at a time.
    cut_after : float
        Seconds after which a watch that still waits is cut.
    cuts_answers : bool
        Whether watches that have changes to return are cut as well.
    silent : set of str
        Endpoints that write nothing more.
    """

    def __init__(
        self, *, is_away=lambda now: False, cut_after=math.inf, cuts_answers=False
    ):
        super().__init__(list_all=self._list_all, watch=self._watch)
        self.is_away = is_away
        self.cut_after = cut_after
        self.cuts_answers = cuts_answers
        self.silent = set()
        self.written_at = {}
        self.history = []

    async def serve(self, *instances):
        """Write the entries of endpoints that come, until cancelled."""
        next_beats = dict.fromkeys(instances, 0.0)
        while True:
            now = anyio.current_time()
            for instance, beat_at in next_beats.items():
                lapses_at = self.written_at.get(instance, now) + 3 * HEARTBEAT_SECONDS
                if now >= lapses_at:
                    self.remove(instance)
                if now >= beat_at and not self.is_away(now):
                    if instance not in self.silent:
                        self.written_at[instance] = now
                        self._write(instance, build_entry())
                    next_beats[instance] = now + HEARTBEAT_SECONDS
            await anyio.sleep(STEP_SECONDS)

    def remove(self, instance):
        """Remove the entry of an endpoint, if there is one."""
        if self.written_at.pop(instance, None) is not None:
            self._write(instance, None)

    def _write(self, instance, value):
        revision = len(self.history) + 1
        change = Change(key=f"servers/{instance}", value=value, revision=revision)
        self.history.append(change)

    async def read_position(self):
        """Return the position of the last change."""
        if self.is_away(anyio.current_time()):
            raise StoreUnavailableError("away")
        return Position(0, len(self.history))

    async def _list_all(self):
        if self.is_away(anyio.current_time()):
            raise StoreUnavailableError("away")
        return list(self.history), Position(0, len(self.history))

    async def _watch(self, after, wait):
        started = anyio.current_time()
        while True:
            now = anyio.current_time()
            if self.is_away(now):
                raise StoreUnavailableError("away")
            answers = after.revision < len(self.history) or now >= started + wait
            if answers and not self.cuts_answers:
                return self.history[after.revision :], Position(0, len(self.history))
            if now >= started + self.cut_after:
                raise WatchCutError("cut")
            await anyio.sleep(STEP_SECONDS)


async def no_changes(revision):
    """Answer as a peer that does not respond."""
    return


def build_follower(store, **changes):
    """Return a follower of a store; by default it has no peers and no relays."""
    directory = build_directory()
    values = {
        "directory": directory,
        "store": store,
        "log": directory.log,
        "reads_per_second": 1_000.0,
        "heartbeat": HEARTBEAT_SECONDS,
        "ask_peer": no_changes,
        "ask_relay": no_changes,
    }
    return Follower(**(values | changes))
