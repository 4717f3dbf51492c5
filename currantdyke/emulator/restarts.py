"""Restarts of endpoints that crash, with their entries in the store."""

import socket
import time

import anyio
import attrs

from currantdyke.emulator.endpoints import EndpointEmulator
from currantdyke.emulator.store import StoreEmulator

__all__ = ["Restarts", "run_with_restarts"]


@attrs.frozen(kw_only=True)
class Restarts:
    """How a crashed endpoint comes back.

    Attributes
    ----------
    down_seconds : float
        From the crash until it listens again at the same address and announces itself.
    new_instance : bool
        Whether each incarnation has another id.
    expiry_seconds : float
        From a crash until the store removes an entry that was not written again.
    """

    down_seconds: float = 1.0
    new_instance: bool = False
    expiry_seconds: float = 1.5


async def run_with_restarts(
    endpoint: EndpointEmulator,
    store: StoreEmulator,
    restarts: Restarts,
    *,
    task_status=anyio.TASK_STATUS_IGNORED,
) -> None:
    """Announce and serve, and restart after each crash, until cancelled."""
    # A bound socket that does not listen keeps the port while the endpoint is down.
    with socket.socket() as reservation:
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reservation.bind((endpoint.host, endpoint.port))
        endpoint.port = reservation.getsockname()[1]
        async with anyio.create_task_group() as tasks:
            first_instance = endpoint.instance
            while True:
                await _run_once(endpoint, store, task_status)
                instance, born = endpoint.instance, endpoint.born
                tasks.start_soon(_expire, store, instance, born, restarts)
                await anyio.sleep(restarts.down_seconds)
                endpoint.incarnation += 1
                endpoint.born = max(born + 1, int(time.time() * 1_000))
                if restarts.new_instance:
                    endpoint.instance = f"{first_instance}-{endpoint.incarnation}"


async def _run_once(
    endpoint: EndpointEmulator, store: StoreEmulator, task_status
) -> None:
    async with anyio.create_task_group() as tasks:
        await tasks.start(endpoint.run)
        store.announce(endpoint.instance, endpoint.entry())
        if endpoint.incarnation == 1:
            task_status.started()


async def _expire(
    store: StoreEmulator, instance: str, born: int, restarts: Restarts
) -> None:
    """Remove the entry of a crashed incarnation unless a later one has written it."""
    await anyio.sleep(restarts.expiry_seconds)
    if store.document(f"servers/{instance}").get("born") == born:
        store.withdraw(instance)
