"""The spreading of one accepted change, in messages and virtual time.

Delays, losses and failures are drawn from a seeded generator; versions are held,
verified and handed on by the real feed.
"""

import collections
import functools
import heapq
import itertools
import math
import random
from collections.abc import Callable
from typing import Any

import attrs

from currantdyke.bundle import BundleInForce, ConfigurationFeed
from currantdyke.bundle.bench_bundle import build_small_chain
from currantdyke.bundle.follow import POLL_JITTER, POLL_SECONDS

__all__ = ["Faults", "Figures", "Node", "SpreadModel"]

REGIONS = 5
NEAR_SECONDS = 0.001
FAR_SECONDS = 0.05
STORE_SECONDS = (0.002, 0.015)
DETECT_SECONDS = (5.0, 8.0)
OUTAGE_SECONDS = 60.0
OUTAGE_STARTS_SECONDS = 0.02
END_SECONDS = 120.0
HEADER_BYTES = 60
MAX_UPDATE_BYTES = 65_536
RESEND_SECONDS = 0.5


@attrs.frozen(kw_only=True)
class Faults:
    """What is wrong in a run."""

    loss: float = 0.0
    failing: float = 0.0
    store_down: bool = False
    parted: bool = False
    watchers_fail: bool = False


@attrs.define(kw_only=True)
class Figures:
    """What a run has cost, until the last live daemon held the version."""

    last: float = math.inf
    after_heal: float = 0.0
    messages: int = 0
    sent: int = 0
    store_calls: int = 0
    store_peak: int = 0
    sent_most: int = 0


@attrs.define(kw_only=True, eq=False)
class Node:
    """One daemon of the model."""

    name: str
    region: str
    feed: ConfigurationFeed
    detects: float = math.inf
    alive: bool = True
    sent: int = 0
    asked: float = -math.inf
    sources: list["Node"] = attrs.field(factory=list)
    parent_heard: float = 0.0
    climbs: int = 0
    subscribers: set[int] = attrs.field(factory=set)


class SpreadModel:
    """The network, the store and the daemons; ``way`` says who tells whom."""

    def __init__(self, *, size: int, way: Callable, faults: Faults, seed: int):
        self.random = random.Random(seed)
        self.faults = faults
        self.figures = Figures()
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable, tuple]] = []
        self.order = itertools.count()
        self.calls_by_second: collections.Counter[int] = collections.Counter()
        self.chain = build_small_chain()
        self.nodes = [self._node(number) for number in range(size)]
        self.way = way(self)
        for node in self.nodes:
            node.feed.subscribe(functools.partial(self._note_version, node))
        self._fail()
        self._accept()

    def _node(self, number: int) -> Node:
        feed = ConfigurationFeed(in_force=BundleInForce(), random_source=self.random)
        feed.take_records([self.chain[0]])
        return Node(
            name=f"entry-{number}", region=f"region-{number % REGIONS}", feed=feed
        )

    def _fail(self) -> None:
        count = int(len(self.nodes) * self.faults.failing)
        for node in self.random.sample(self.nodes, count):
            node.alive = False
        if self.faults.watchers_fail:
            failing = [node for node in self.nodes if self.way.watches(node)]
            for node in failing if len(failing) < len(self.nodes) else failing[:2]:
                node.alive = False
            count = len(failing)
        self.living = [node for node in self.nodes if node.alive]
        self.missing = len(self.living)
        for node in self.nodes:
            node.detects = self.random.uniform(*DETECT_SECONDS) if count else math.inf
            if count and node.alive:
                self.after(node.detects, self.way.on_belief, node)

    def _accept(self) -> None:
        for node in self.nodes:
            period = POLL_SECONDS * (1 + POLL_JITTER * self.random.random())
            self.after(period * self.random.random(), self._poll, node, period)
            self.after(self.random.random(), self.way.start, node)
            if self.way.watches(node):
                self.after(self.random.uniform(*STORE_SECONDS), self.look, node, 1)

    def _note_version(self, node: Node, version: int) -> None:
        self.missing -= node.alive
        self.way.on_version(node)

    def after(self, delay: float, function: Callable, *arguments: Any) -> None:
        """Call a function later."""
        entry = (self.now + delay, next(self.order), function, arguments)
        heapq.heappush(self.queue, entry)

    def believed(self, node: Node) -> list[Node]:
        """Return the daemons that one holds for live, itself among them."""
        if self.now >= node.detects:
            return self.living
        return self.nodes

    def send(self, source: Node, to: Node, size: int, function, *arguments) -> None:
        """Send a message; it may be lost."""
        if not source.alive:
            return
        self.figures.messages += 1
        self.figures.sent += size
        source.sent += size
        far = source.region != to.region
        if not to.alive or self.random.random() < self.faults.loss:
            return
        if far and self._is_parted(source.region, to.region):
            return
        delay = FAR_SECONDS if far else NEAR_SECONDS
        self.after(delay * self.random.uniform(1.0, 1.3), function, *arguments)

    def _is_parted(self, *regions: str) -> bool:
        parted = self.faults.parted and self.now < OUTAGE_SECONDS
        return parted and f"region-{REGIONS - 1}" in regions

    def look(self, node: Node, calls: int = 2) -> None:
        """Read the head and the record that it names, in so many calls."""
        if not node.alive:
            return
        self.figures.store_calls += calls
        self.calls_by_second[int(self.now)] += calls
        delay = sum(self.random.uniform(*STORE_SECONDS) for _ in range(calls))
        down = self.faults.store_down and (
            OUTAGE_STARTS_SECONDS < self.now + delay < OUTAGE_SECONDS
        )
        lost = self.random.random() < self.faults.loss
        if not (down or lost or self._is_parted(node.region)):
            self.after(delay, node.feed.take_records, self.chain[1:])

    def _poll(self, node: Node, period: float) -> None:
        if not node.alive:
            return
        self.after(period, self._poll, node, period)
        if self.way.watches(node) or self.way.is_quiet(node):
            self.look(node, 1 if node.feed.version == 2 else 2)

    def pull(self, node: Node, source: Node) -> None:
        """Ask a daemon for its update, unless one was asked just now."""
        if source not in node.sources:
            node.sources.append(source)
        if self.now - node.asked < RESEND_SECONDS:
            return
        node.asked = self.now
        self.after(RESEND_SECONDS, self._pull_again, node)
        self.send(node, source, HEADER_BYTES, self.push, source, node)

    def _pull_again(self, node: Node) -> None:
        if node.feed.version < 2 and node.sources:
            self.pull(node, self.random.choice(node.sources))

    def push(self, source: Node, to: Node) -> None:
        """Send the update that a daemon lacks."""
        update = source.feed.update_since(1, MAX_UPDATE_BYTES)
        if update:
            size = HEADER_BYTES + len(update)
            self.send(source, to, size, to.feed.offer, update)

    def tell(self, source: Node, to: Node) -> None:
        """Tell a daemon the version in force; it pulls where it lacks it."""
        version = source.feed.version
        self.send(source, to, HEADER_BYTES, self._told, to, source, version)

    def _told(self, node: Node, source: Node, version: int) -> None:
        node.parent_heard = self.now
        if node.feed.version < version:
            self.pull(node, source)

    def run(self) -> Figures:
        """Run until every live daemon holds the version."""
        while self.queue:
            self.now, _, function, arguments = heapq.heappop(self.queue)
            if self.now > END_SECONDS:
                break
            function(*arguments)
            if not self.missing:
                self.figures.last = self.now
                break
        figures = self.figures
        healed = OUTAGE_SECONDS if self.faults.parted else 0.0
        figures.after_heal = max(0.0, figures.last - healed)
        figures.store_peak = max(self.calls_by_second.values(), default=0)
        figures.sent_most = max(node.sent for node in self.nodes)
        return figures
