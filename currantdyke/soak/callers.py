"""Callers that keep their connection until the gateway process closes it."""

import itertools
import random
from collections.abc import Callable
from typing import Any

import anyio
import attrs
import h11

from currantdyke.emulator import Caller, CallerAnswer, caller_headers
from currantdyke.http1 import ConnectionLostError
from currantdyke.soak.configurations import FIRST_KEY
from currantdyke.soak.gateways import Incarnation, SupervisedGateway

__all__ = [
    "Attempt",
    "ChooseRequest",
    "RequestChoice",
    "choose_plain",
    "choose_stream",
    "choose_request",
    "send_requests",
]

# Share of the requests for added routes that are for the last ones.
LATEST_SHARE = 0.5
LATEST_ROUTES = 5
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


@attrs.frozen(kw_only=True)
class RequestChoice:
    """What a caller sends next.

    Attributes
    ----------
    kind : str
        ``plain`` is idempotent, ``once`` is not, ``stream`` goes to an engine;
        ``added`` is idempotent, on a route that was added during the run.
    headers : dict of str to str
        Headers besides the usual ones.
    """

    kind: str
    prefix: str
    key: str
    streams: bool = False
    headers: dict[str, str] = attrs.field(factory=dict)


ChooseRequest = Callable[[Any, random.Random], RequestChoice]


@attrs.define(kw_only=True, eq=False)
class Attempt:
    """A request of a caller and its outcome.

    Attributes
    ----------
    kind : str
        As in `RequestChoice`.
    sent_at, sent_whole_at : float
        Before its first byte and after its last byte was written; the latter is
        infinite if it was not.
    in_touch : bool
        Whether the users' bounds on time held for the gateway when it was sent.
    time_limit : float
        Lowest number of seconds after which a gateway may end it unanswered.
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
    time_limit: float = float("inf")
    streams: bool = False
    in_touch: bool = False
    sent_whole_at: float = float("inf")
    ended_at: float = float("inf")
    allowed_since: float = float("inf")
    answer: CallerAnswer | None = None
    error: str = ""

    @property
    def process_name(self) -> str:
        """Name of the gateway process that the request was sent to."""
        return f"{self.gateway.name}/{self.incarnation.number}"

    @property
    def answered(self) -> bool:
        """Whether there is a whole answer."""
        return self.answer is not None and self.answer.complete


async def send_requests(world, rng: random.Random) -> None:
    """Send requests until the run ends, each connection to one gateway."""
    while not world.finished:
        gateway = rng.choice(_gateways_in_use(world))
        await _use_connection(world, gateway, rng)
        await anyio.sleep(RECONNECT_DELAY_SECONDS)


def _gateways_in_use(world) -> list[SupervisedGateway]:
    """Return the gateways that get new connections.

    If less than half of them are in rotation, the platform uses all.
    """
    in_rotation = [g for g in world.gateways if g.in_rotation()]
    enough = 2 * len(in_rotation) >= len(world.gateways)
    return in_rotation if enough else world.gateways


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
        choice = world.pattern.choose_request(world, rng)
        attempt = _start_attempt(world, choice, gateway, incarnation, rng)
        keep_open = await _send_request(world, caller, attempt, choice)
        await anyio.sleep(rng.uniform(0.0, world.pattern.think_seconds))
    await caller.close()


def _start_attempt(
    world,
    choice: RequestChoice,
    gateway: SupervisedGateway,
    incarnation: Incarnation,
    rng: random.Random,
) -> Attempt:
    return Attempt(
        attempt_id=f"s{next(ATTEMPT_NUMBERS)}",
        kind=choice.kind,
        target=f"{choice.prefix}{rng.randrange(1_000)}",
        body=rng.randbytes(rng.randrange(MAX_BODY_BYTES)).hex().encode(),
        gateway=gateway,
        incarnation=incarnation,
        sent_at=anyio.current_time(),
        time_limit=min(world.pattern.deadline_seconds, world.pattern.timeout_seconds),
        streams=choice.streams,
        in_touch=world.is_in_touch(gateway),
    )


async def _send_request(
    world, caller: Caller, attempt: Attempt, choice: RequestChoice
) -> bool:
    """Send one request, check its answer, and return whether the connection is open."""
    headers = caller_headers(
        attempt.attempt_id, key=choice.key, streams=attempt.streams
    )
    headers["x-deadline-ms"] = str(int(1_000 * world.pattern.deadline_seconds))
    headers |= choice.headers
    world.attempts.append(attempt)
    try:
        await caller.send("POST", attempt.target, body=attempt.body, headers=headers)
        attempt.sent_whole_at = anyio.current_time()
        attempt.answer = await caller.answer()
    except CONNECTION_ERRORS as error:
        attempt.error = f"{type(error).__name__}: {error}"
    attempt.ended_at = anyio.current_time()
    attempt.allowed_since = world.configurations.both_allowed_since(
        choice.prefix, choice.key
    )
    world.checker.check_attempt(attempt)
    return attempt.answer is not None and caller.connection is not None


def choose_plain(world, rng: random.Random) -> RequestChoice:
    """Choose a plain request."""
    return RequestChoice(kind="plain", prefix="/plain/", key=FIRST_KEY)


def choose_stream(world, rng: random.Random) -> RequestChoice:
    """Choose a stream."""
    return RequestChoice(kind="stream", prefix="/stream/", key=FIRST_KEY, streams=True)


def choose_request(world, rng: random.Random) -> RequestChoice:
    """Choose among the kinds of requests and the routes of the configurations."""
    kind = rng.choice(("plain", "once", "stream", "added"))
    prefixes = world.configurations.grown_prefixes
    if kind != "added" or not prefixes:
        kind = "plain" if kind == "added" else kind
        return RequestChoice(
            kind=kind, prefix=f"/{kind}/", key=FIRST_KEY, streams=kind == "stream"
        )
    if rng.random() < LATEST_SHARE:
        prefixes = prefixes[-LATEST_ROUTES:]
    return RequestChoice(
        kind=kind,
        prefix=rng.choice(prefixes),
        key=rng.choice(world.configurations.keys),
    )
