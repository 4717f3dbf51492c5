"""Directories, changes and followers for tests."""

import contextlib
import functools
import os

import anyio
import msgspec

from currantdyke.decisionlog import DecisionLog
from currantdyke.directory import ChangeSet, Directory, EndpointTable, Follower
from currantdyke.links.codec import Frame, decode_frame, encode_frame
from currantdyke.platform.store import Change
from currantdyke.testing.gateways import configuration, plain_route
from currantdyke.testing.virtual import run_virtual

__all__ = [
    "FakeStore",
    "ask",
    "build_changes",
    "build_configuration",
    "build_directory",
    "build_entry",
    "build_follower",
    "in_virtual_time",
    "tell",
]


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
        "ask_peer": no_changes,
        "ask_relay": no_changes,
    }
    return Follower(**(values | changes))
