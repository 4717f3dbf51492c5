"""Callers that keep open connections until the process behind them is gone."""

import itertools
import random

import anyio
import attrs
import h11

from currantdyke.emulator import Caller, CallerAnswer, caller_headers
from currantdyke.http1 import ConnectionLostError
from currantdyke.soak.gateways import GatewayProcess, Life

__all__ = ["Attempt", "call_on_and_on"]

KEY = "k1"
# Short enough that each connection of a stopping gateway gets an answer that ends it.
THINK_SECONDS = 0.15
AGAIN_SECONDS = 0.05
MAX_BODY_BYTES = 3_000
NUMBERS = itertools.count(1)
# What is raised where a connection ends or stands still before its answer.
LOST = (OSError, ConnectionLostError, TimeoutError, h11.RemoteProtocolError)


@attrs.define(kw_only=True, eq=False)
class Attempt:
    """A request of a caller and what became of it.

    Attributes
    ----------
    kind : str
        ``plain`` may be repeated, ``once`` may not, ``stream`` is one of an engine.
    answer : CallerAnswer or None
        None while there is none, or if the connection was lost before its head.
    lost : str
        Why there is no answer.
    """

    attempt_id: str
    kind: str
    target: str
    body: bytes
    gateway: GatewayProcess
    life: Life
    sent_at: float
    ended_at: float = float("inf")
    answer: CallerAnswer | None = None
    lost: str = ""


async def call_on_and_on(world, source: random.Random) -> None:
    """Send requests until the soak is over, at one gateway until it is gone."""
    while not world.over:
        choices = [g for g in world.gateways if g.in_rotation()]
        if choices:
            await _call_one(world, source.choice(choices), source)
        await anyio.sleep(AGAIN_SECONDS)


async def _call_one(world, gateway: GatewayProcess, source: random.Random) -> None:
    caller = Caller(address=gateway.address)
    try:
        await caller.connect()
    except OSError:
        # Nothing listens there just now.
        return
    life = gateway.life
    going_on = True
    while going_on and not world.over:
        going_on = await _ask(world, caller, gateway, life, source)
        await anyio.sleep(source.uniform(0.0, THINK_SECONDS))
    await caller.leave()


async def _ask(
    world, caller: Caller, gateway: GatewayProcess, life: Life, source: random.Random
) -> bool:
    """Send one request and wait for its answer; return whether to go on here."""
    kind = source.choice(("plain", "once", "stream"))
    attempt = Attempt(
        attempt_id=f"s{next(NUMBERS)}",
        kind=kind,
        target=f"/{kind}/{source.randrange(1_000)}",
        body=source.randbytes(source.randrange(MAX_BODY_BYTES)).hex().encode(),
        gateway=gateway,
        life=life,
        sent_at=anyio.current_time(),
    )
    headers = caller_headers(attempt.attempt_id, key=KEY, streams=kind == "stream")
    world.attempts.append(attempt)
    try:
        await caller.send("POST", attempt.target, body=attempt.body, headers=headers)
        attempt.answer = await caller.answer()
    except LOST as error:
        attempt.lost = f"{type(error).__name__}: {error}"
    attempt.ended_at = anyio.current_time()
    world.promises.judge(attempt)
    return attempt.answer is not None and caller.connection is not None
