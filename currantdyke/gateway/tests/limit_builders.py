"""Steady loads on a deployment, and counts of what reaches its endpoints."""

import bisect

import anyio

from currantdyke.emulator import CallerAnswer
from currantdyke.gateway.tests.builders import KEY, STREAM_HEADERS
from currantdyke.http1 import ConnectionLostError
from currantdyke.soak.limits import WINDOW_SECONDS
from currantdyke.testing.gateways import wait_until

__all__ = [
    "CONTACT_SECONDS",
    "busiest_window",
    "first_after",
    "send_load",
    "start_gateways",
]

# Time after which a limit that an endpoint has named binds the fleet.
CONTACT_SECONDS = 2.0
HEADERS = {
    "/plain/": KEY,
    "/stream/": STREAM_HEADERS,
    "/staged/": STREAM_HEADERS | {"x-chunk-count": "2", "x-chunk-key": "k"},
}


async def start_gateways(deployment, count: int) -> None:
    """Start gateways and wait until they know each other."""
    for _ in range(count):
        await deployment.gateway()
    await wait_until(
        lambda: all(len(g.directory.daemons) == count for g in deployment.gateways)
    )


async def send_load(
    deployment, target: str, *, rate: float, seconds: float, gateways=None
) -> list[CallerAnswer]:
    """Send requests at a steady rate, each on its own connection, to each gateway.

    Parameters
    ----------
    gateways : list of int, optional
        Numbers of the gateways that get requests; by default all.
    """
    numbers = gateways or range(len(deployment.gateways))
    answers: list[CallerAnswer] = []

    async def send(number: int) -> None:
        caller = deployment.caller(numbers[number % len(numbers)])
        try:
            answers.append(
                await caller.request("POST", target, headers=HEADERS[target])
            )
        except (OSError, ConnectionLostError):
            # The gateway has stopped.
            return
        finally:
            await caller.close()

    async with anyio.create_task_group() as tasks:
        for number in range(int(rate * seconds)):
            tasks.start_soon(send, number)
            await anyio.sleep(1 / rate)
    return answers


def busiest_window(times: list[float], start: float) -> int:
    """Return the largest number of arrivals in a window that begins after a time."""
    return max(
        (
            bisect.bisect(times, at + WINDOW_SECONDS) - index
            for index, at in enumerate(times)
            if at >= start
        ),
        default=0,
    )


def first_after(times: list[float], start: float) -> int:
    """Return the number of arrivals in the window that begins at a time."""
    return bisect.bisect(times, start + WINDOW_SECONDS) - bisect.bisect(times, start)
