"""Ways of spreading a version, for the bench that compares them.

References
----------
L. Yin and G. Cao, "DUP: Dynamic-tree Based Update Propagation in Peer-to-Peer
Networks", for the tree of interested nodes.
"""

import functools
from collections.abc import Iterator

import xxhash

from currantdyke.bundle.follow import (
    POLL_SECONDS,
    REGION_POLL_SECONDS,
    choose_watchers,
)
from currantdyke.bundle.spread_model import (
    HEADER_BYTES,
    REGIONS,
    RESEND_SECONDS,
    Node,
    SpreadModel,
)

__all__ = ["AllWatch", "Epidemic", "FixedTree", "InterestedTree"]

FANOUT = 3
GOSSIP_ROUNDS = 4
GOSSIP_SECONDS = 0.2
PROBE_SECONDS = 1.0
ARITY = 4
RESENDS = 10
REFRESH_SECONDS = 2.0
REFRESHES_MISSED = 2


@functools.cache
def rank(node: Node) -> int:
    """Return a daemon's place in the order that all daemons agree on."""
    return xxhash.xxh64_intdigest(f"watch/{node.name}".encode())


class AllWatch:
    """Every daemon watches the store."""

    def __init__(self, model: SpreadModel):
        self.model = model

    def watches(self, node: Node) -> bool:
        """Return whether a daemon watches the store."""
        return True

    def is_quiet(self, node: Node) -> bool:
        """Return whether a daemon hears nothing and polls the store."""
        return False

    def start(self, node: Node) -> None:
        """Begin what a daemon does periodically."""

    def on_version(self, node: Node) -> None:
        """React to a version that came into force."""

    def on_belief(self, node: Node) -> None:
        """React to daemons found dead: new watchers look at the head."""
        if self.watches(node):
            self.model.look(node)


class Epidemic(AllWatch):
    """Few watch; versions ride on probes and are announced to a few at random."""

    def watches(self, node: Node) -> bool:
        """Return whether a daemon is one of the watchers of its region."""
        members = ((n.name, n.region) for n in self.model.believed(node))
        return node.name in choose_watchers(members, node.region)

    def is_quiet(self, node: Node) -> bool:
        """Draw lots, so that some daemon of a region looks about every second."""
        members = len(self.model.believed(node)) / REGIONS
        share = POLL_SECONDS / (REGION_POLL_SECONDS * max(1.0, members))
        return self.model.random.random() < share

    def start(self, node: Node) -> None:
        """Probe a peer at random; both learn of the other's version."""
        if not node.alive:
            return
        self.model.after(PROBE_SECONDS, self.start, node)
        for peer in self._peers(node, 1):
            self.model.tell(node, peer)
            self.model.send(node, peer, HEADER_BYTES, self.model.tell, peer, node)

    def on_version(self, node: Node) -> None:
        """Announce the version in a few rounds."""
        for number in range(GOSSIP_ROUNDS):
            self.model.after(number * GOSSIP_SECONDS, self._announce, node)

    def _announce(self, node: Node) -> None:
        for peer in self._peers(node, FANOUT):
            self.model.tell(node, peer)

    def _peers(self, node: Node, count: int) -> list[Node]:
        others = [peer for peer in self.model.believed(node) if peer is not node]
        return self.model.random.sample(others, min(count, len(others)))


class FixedTree(Epidemic):
    """Few watch; each region pushes down a tree, with acknowledgement."""

    def start(self, node: Node) -> None:
        """Tell the children now and then."""
        if not node.alive:
            return
        self.model.after(PROBE_SECONDS, self.start, node)
        for child in self.children(node):
            self.model.tell(node, child)

    def on_version(self, node: Node) -> None:
        """Push to each child until it acknowledges."""
        for child in self.children(node):
            self._push(node, child, RESENDS)

    def on_belief(self, node: Node) -> None:
        """Push to the children that were adopted from the dead."""
        super().on_belief(node)
        if node.feed.version == 2:
            self.on_version(node)

    def _push(self, node: Node, child: Node, left: int) -> None:
        acknowledged = child.alive and child.feed.version == 2
        if left and not acknowledged and child in self.children(node):
            self.model.push(node, child)
            self.model.after(RESEND_SECONDS, self._push, node, child, left - 1)
        elif acknowledged:
            self.model.send(child, node, HEADER_BYTES, lambda: None)

    def children(self, node: Node) -> Iterator[Node]:
        """Yield the children in the region's tree, and the other regions' roots."""
        order = self.ordered(node, node.region)
        place = order.index(node)
        yield from order[ARITY * place + 1 : ARITY * place + 1 + ARITY]
        if place == 0:
            for number in range(REGIONS):
                if node.region != f"region-{number}":
                    yield from self.ordered(node, f"region-{number}")[:1]

    def ordered(self, node: Node, region: str) -> list[Node]:
        """Return the believed members of a region, watchers first."""
        found = [n for n in self.model.believed(node) if n.region == region]
        return sorted(found, key=rank)


class InterestedTree(Epidemic):
    """The tree of interested nodes (DUP), over all regions, from one root.

    Every daemon is interested, so that the tree is the search tree; a daemon renews
    its subscription upstream, and climbs where its parent does not answer.
    """

    def __init__(self, model: SpreadModel):
        super().__init__(model)
        self.order = sorted(model.nodes, key=rank)
        self.place = {node.name: i for i, node in enumerate(self.order)}
        for node in self.order[1:]:
            self.parent(node).subscribers.add(self.place[node.name])

    def watches(self, node: Node) -> bool:
        """Return whether a daemon is the root, or next to it."""
        believed = set(self.model.believed(node))
        return node in [n for n in self.order if n in believed][:2]

    def parent(self, node: Node) -> Node:
        """Return whom a daemon subscribes with: an ancestor, or the next root."""
        place = self.place[node.name]
        for _ in range(1 + node.climbs):
            place = max(0, (place - 1) // ARITY)
        if place == 0 and not self.order[0].alive and self.model.now >= node.detects:
            return next(n for n in self.order if n.alive)
        return self.order[place]

    def start(self, node: Node) -> None:
        """Renew the subscription; the parent answers with its version."""
        if not node.alive:
            return
        self.model.after(REFRESH_SECONDS, self.start, node)
        waited = self.model.now - node.parent_heard
        if waited > REFRESHES_MISSED * REFRESH_SECONDS:
            node.climbs += 1
            node.parent_heard = self.model.now
        parent = self.parent(node)
        if parent is not node:
            self.model.send(node, parent, HEADER_BYTES, self._subscribed, parent, node)

    def _subscribed(self, parent: Node, node: Node) -> None:
        parent.subscribers.add(self.place[node.name])
        self.model.tell(parent, node)

    def on_version(self, node: Node) -> None:
        """Push to every subscriber."""
        for place in sorted(node.subscribers):
            self.model.push(node, self.order[place])
