"""The peers' network in memory: delay, loss, duplicates, partitions, pauses."""

import heapq
import itertools
import random
from collections.abc import Callable

import anyio
import anyio.abc
import attrs

from currantdyke.peers.transport import CallHandler

__all__ = ["MemoryPeers", "MemoryTransport"]

INBOX_DATAGRAMS = 4_096
CALL_TIMEOUT_SECONDS = 3.0
RESEND_SECONDS = 0.2


@attrs.define(kw_only=True, eq=False, slots=False)
class MemoryTransport:
    """One daemon's side of the network.

    Attributes
    ----------
    delay : float
        Further seconds one way, in both directions.
    awake : anyio.Event
        Unset while the process is paused: nothing is sent, read or answered.
    """

    network: "MemoryPeers"
    address: str
    delay: float = 0.0
    handler: CallHandler | None = None
    awake: anyio.Event = attrs.field(factory=anyio.Event)

    def __attrs_post_init__(self) -> None:
        self.awake.set()
        self.inbox_send, self.inbox = anyio.create_memory_object_stream[
            tuple[bytes, str]
        ](INBOX_DATAGRAMS)

    async def send(self, address: str, data: bytes) -> None:
        """Send a datagram."""
        await self.awake.wait()
        self.network.carry(self, address, data)

    async def receive(self) -> tuple[bytes, str]:
        """Wait for the next datagram."""
        received = await self.inbox.receive()
        await self.awake.wait()
        return received

    async def call(self, address: str, data: bytes, max_bytes: int) -> bytes:
        """Ask a peer over a stream, which resends what is lost."""
        await self.awake.wait()
        with anyio.fail_after(CALL_TIMEOUT_SECONDS):
            peer = self.network.peer(address)
            await self.network.cross(self, address)
            if peer is None or peer.handler is None:
                raise ConnectionRefusedError(address)
            await peer.awake.wait()
            answer = await peer.handler(data)
            await self.network.cross(self, address)
        if len(answer) > max_bytes:
            raise OSError(f"the peer sent more than {max_bytes} bytes")
        self.network.call_bytes += len(data) + len(answer)
        return answer

    async def serve_calls(self, handler: CallHandler) -> None:
        """Answer peers' calls until cancelled."""
        self.handler = handler
        try:
            await anyio.sleep_forever()
        finally:
            self.handler = None

    def pause(self) -> None:
        """Stop the process, as a signal or its VM's host would."""
        self.awake = anyio.Event()

    def wake(self) -> None:
        """Let a paused process go on."""
        self.awake.set()


class MemoryPeers:
    """Carries datagrams and calls between transports.

    Parameters
    ----------
    tasks : TaskGroup
        Runs the carrier.
    seed : int
        Seed of losses, duplicates and delays.
    """

    def __init__(self, *, tasks: anyio.abc.TaskGroup, seed: int = 1):
        self.random_source = random.Random(seed)
        self.transports: dict[str, MemoryTransport] = {}
        self.delay = 0.001
        self.loss = 0.0
        self.duplicates = 0.0
        self.group_of: Callable[[str], str] = lambda address: ""
        self.datagrams = 0
        self.call_bytes = 0
        self.queue: list[tuple[float, int, str, str, bytes]] = []
        self.order = itertools.count()
        self.changed = anyio.Event()
        tasks.start_soon(self._run)

    def open(self, address: str) -> MemoryTransport:
        """Return a transport at an address; an earlier one there is gone."""
        transport = MemoryTransport(network=self, address=address)
        self.transports[address] = transport
        return transport

    def close(self, address: str) -> None:
        """Take a transport away: what is sent there is lost."""
        self.transports.pop(address, None)

    def part(self, group_of: Callable[[str], str]) -> None:
        """Let only addresses of the same group reach each other."""
        self.group_of = group_of

    def heal(self) -> None:
        """End a partition."""
        self.group_of = lambda address: ""

    def peer(self, address: str) -> MemoryTransport | None:
        """Return the transport at an address."""
        return self.transports.get(address)

    def carry(self, sender: MemoryTransport, address: str, data: bytes) -> None:
        """Take a datagram on its way."""
        self.datagrams += 1
        copies = 1 + (self.random_source.random() < self.duplicates)
        for _ in range(copies):
            if self.random_source.random() < self.loss:
                continue
            due = anyio.current_time() + self._delay(sender, address)
            item = (due, next(self.order), sender.address, address, data)
            heapq.heappush(self.queue, item)
        self.changed.set()

    async def cross(self, sender: MemoryTransport, address: str) -> None:
        """Wait until a stream's bytes have come through."""
        await anyio.sleep(self._delay(sender, address))
        while not self._connected(sender.address, address):
            await anyio.sleep(RESEND_SECONDS)
        while self.random_source.random() < self.loss:
            await anyio.sleep(RESEND_SECONDS)

    def _delay(self, sender: MemoryTransport, address: str) -> float:
        peer = self.transports.get(address)
        further = sender.delay + (peer.delay if peer else 0.0)
        return further + self.delay * (0.5 + self.random_source.random())

    def _connected(self, one: str, other: str) -> bool:
        return self.group_of(one) == self.group_of(other)

    async def _run(self) -> None:
        while True:
            self.changed = anyio.Event()
            now = anyio.current_time()
            while self.queue and self.queue[0][0] <= now:
                _, _, sender, address, data = heapq.heappop(self.queue)
                self._deliver(sender, address, data)
            wait = self.queue[0][0] - now if self.queue else float("inf")
            with anyio.move_on_after(wait):
                await self.changed.wait()

    def _deliver(self, sender: str, address: str, data: bytes) -> None:
        peer = self.transports.get(address)
        if peer is None or not self._connected(sender, address):
            return
        try:
            peer.inbox_send.send_nowait((data, sender))
        except anyio.WouldBlock:
            return
