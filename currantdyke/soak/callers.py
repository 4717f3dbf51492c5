"""Callers that keep their connection until the gateway process closes it."""

import itertools
import random

import anyio
import attrs
import h11

from currantdyke.emulator import Caller, CallerAnswer, caller_headers
from currantdyke.http1 import ConnectionLostError
from currantdyke.soak.configurations import FIRST_KEY
from currantdyke.soak.gateways import Incarnation, SupervisedGateway

__all__ = ["Attempt", "send_requests"]

# Share of the requests for added routes that are for the last ones.
LATEST_SHARE = 0.5
LATEST_ROUTES = 5
# Short enough that the caller sends another request on each connection while a
# stopping gateway still serves; the gateway closes the connection after its answer.
MAX_THINK_SECONDS = 0.15
RECONNECT_DELAY_SECONDS = 0.05
MAX_BODY_BYTES = 3_000
ATTEMPT_NUMBERS = itertools.count(1)
# Raised when a connection ends or stalls before the answer.
CONNECTION_ERRORS = (
    OSError,
    ConnectionLostError,
    TimeoutError,
    h11.RemoteProtocolError,
)


@attrs.define(kw_only=True, eq=False)
class Attempt:
    """A request of a caller and its outcome.

    Attributes
    ----------
    kind : str
        ``plain`` is idempotent, ``once`` is not, ``stream`` goes to an engine;
        ``added`` is idempotent, on a route that was added during the run.
    allowed_since : float
        Since when, as of its end, all configurations have allowed the request; infinite
        if the last one does not.
    answer : CallerAnswer or None
        None before the answer, if the connection was lost before its head, or if the
        answer did not end in time.
    error : str
        Why there is no answer.
    """

    attempt_id: str
    kind: str
    target: str
    body: bytes
    gateway: SupervisedGateway
    incarnation: Incarnation
    sent_at: float
    ended_at: float = float("inf")
    allowed_since: float = float("inf")
    answer: CallerAnswer | None = None
    error: str = ""


async def send_requests(world, rng: random.Random) -> None:
    """Send requests until the run ends, each connection to one gateway."""
    while not world.finished:
        choices = [g for g in world.gateways if g.in_rotation()]
        if choices:
            await _use_connection(world, rng.choice(choices), rng)
        await anyio.sleep(RECONNECT_DELAY_SECONDS)


async def _use_connection(
    world, gateway: SupervisedGateway, rng: random.Random
) -> None:
    caller = Caller(address=gateway.address)
    try:
        await caller.connect()
    except OSError:
        # The gateway is not listening, for example between two incarnations.
        return
    incarnation = gateway.incarnation
    keep_open = True
    while keep_open and not world.finished:
        keep_open = await _send_request(world, caller, gateway, incarnation, rng)
        await anyio.sleep(rng.uniform(0.0, MAX_THINK_SECONDS))
    await caller.close()


async def _send_request(
    world,
    caller: Caller,
    gateway: SupervisedGateway,
    incarnation: Incarnation,
    rng: random.Random,
) -> bool:
    """Send one request, check its answer, and return whether the connection is open."""
    kind, prefix, key = _choose_route(world, rng)
    attempt = Attempt(
        attempt_id=f"s{next(ATTEMPT_NUMBERS)}",
        kind=kind,
        target=f"{prefix}{rng.randrange(1_000)}",
        body=rng.randbytes(rng.randrange(MAX_BODY_BYTES)).hex().encode(),
        gateway=gateway,
        incarnation=incarnation,
        sent_at=anyio.current_time(),
    )
    headers = caller_headers(attempt.attempt_id, key=key, streams=kind == "stream")
    world.attempts.append(attempt)
    try:
        await caller.send("POST", attempt.target, body=attempt.body, headers=headers)
        attempt.answer = await caller.answer()
    except CONNECTION_ERRORS as error:
        attempt.error = f"{type(error).__name__}: {error}"
    attempt.ended_at = anyio.current_time()
    attempt.allowed_since = world.configurations.both_allowed_since(prefix, key)
    world.checker.check_attempt(attempt)
    return attempt.answer is not None and caller.connection is not None


def _choose_route(world, rng: random.Random) -> tuple[str, str, str]:
    """Return a kind of request, a path prefix and a key."""
    kind = rng.choice(("plain", "once", "stream", "added"))
    prefixes = world.configurations.grown_prefixes
    if kind != "added" or not prefixes:
        kind = "plain" if kind == "added" else kind
        return kind, f"/{kind}/", FIRST_KEY
    if rng.random() < LATEST_SHARE:
        prefixes = prefixes[-LATEST_ROUTES:]
    return kind, rng.choice(prefixes), rng.choice(world.configurations.keys)
