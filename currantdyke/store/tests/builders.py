import contextlib
import functools

import anyio

from currantdyke.standins import KeyValueStandIn
from currantdyke.store import EtcdStore, settled_swap
from currantdyke.testing import MemoryNetwork


@contextlib.asynccontextmanager
async def store_in_memory(count=lambda *labels: None):
    async with anyio.create_task_group() as tasks:
        network = MemoryNetwork(tasks=tasks)
        standin = KeyValueStandIn()
        url = network.attach("store:1", standin.app())
        yield standin, EtcdStore(client=network.client(), url=url, count=count)
        tasks.cancel_scope.cancel()


async def swap(store, expected, value, seconds=5.0, key="k"):
    return await settled_swap(
        store,
        key,
        expected,
        value,
        is_mine=functools.partial(contains, value),
        duty="claims",
        deadline=anyio.current_time() + seconds,
    )


def contains(nonce, value):
    return nonce in value
