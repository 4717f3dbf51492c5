"""Signals of a process that are handled while it serves and ignored as it ends."""

import contextlib
import signal
import socket
from collections.abc import AsyncIterator, Iterator
from types import FrameType

import anyio

__all__ = ["receive_signals"]

MAX_READ_BYTES = 4096


@contextlib.contextmanager
def receive_signals(
    *numbers: signal.Signals,
) -> Iterator[AsyncIterator[signal.Signals]]:
    """Receive signals in order; from the end of the context on they are ignored.

    `anyio.open_signal_receiver` restores their default action, which ends a process
    that receives another one as it exits. To block them meanwhile is not enough: any
    other thread, such as one that resolves addresses, may take a signal of the process.
    Within the context, handlers of signals of the event loop must not be added, since
    the loop then takes what threads write.

    Parameters
    ----------
    *numbers : signal.Signals
        The signals. Must be called in the main thread.

    Yields
    ------
    AsyncIterator of signal.Signals
        For one task. It has no end.
    """
    receiver, sender = socket.socketpair()
    with receiver, sender:
        receiver.setblocking(False)
        sender.setblocking(False)
        # Whichever thread takes a signal writes its number.
        previous = signal.set_wakeup_fd(sender.fileno())
        try:
            for number in numbers:
                signal.signal(number, _do_nothing)
                # System calls of other threads go on.
                signal.siginterrupt(number, False)
            yield _read_signals(receiver, numbers)
        finally:
            for number in numbers:
                signal.signal(number, signal.SIG_IGN)
            signal.set_wakeup_fd(previous)


def _do_nothing(number: int, frame: FrameType | None) -> None:
    """Replace the default action of a signal."""


async def _read_signals(
    receiver: socket.socket, numbers: tuple[signal.Signals, ...]
) -> AsyncIterator[signal.Signals]:
    while True:
        await anyio.wait_readable(receiver)
        for number in receiver.recv(MAX_READ_BYTES):
            # Numbers of all signals that Python handles are written.
            if number in numbers:
                yield signal.Signals(number)
