"""Runners of a first stage crash while a runner of the second one fails calls."""

import os
import pathlib
import random
import secrets
import sys
import time
from collections.abc import Callable

import anyio
import attrs
import msgspec

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins_2 import Deployment, Record, run_deployment

from currantdyke.emulator import Caller, EngineEmulator, Restarts, run_with_restarts
from currantdyke.emulator.endpoints import EndpointEmulator
from currantdyke.http1 import ConnectionLostError

FOLDER = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "key-1"
GATEWAYS = 2
ENGINES = 3
# As on the sheet of the site: four runners for each stage.
WORKERS = 4
RUN_SECONDS = 95.0
REQUESTS_PER_SECOND = 8.0
DEADLINE_SECONDS = 10.0
# Pieces of the two stages of each request.
PIECES = (4, 16)
BATCH = (4, 14)
CALL_SECONDS = (0.15, 0.15)
PIECE_SECONDS = (0.032, 0.00911)
RESULT_TTL_SECONDS = 10.0
# One of four runners of a service is down at a time, as the bench plays a share of 0.3.
CRASH_INTERVAL_SECONDS = 1.8
CRASH_DOWN_SECONDS = 1.4
CRASH_DELAY_SECONDS = 0.02
# One of four runners of a service, as the bench plays a share of 0.14.
GREY_SECONDS = 0.8
GREY_SHARE_OF_CALLS = 0.45


def configuration() -> dict:
    """Return the operators' configuration."""

    def service(name: str, stage: int) -> dict:
        return {
            "name": name,
            "health_path": "/healthz",
            "max_connections": 720,
            "segments": {
                "slots": 1,
                "queue": 2,
                "batch": BATCH[stage],
                "call_ms": 1_000 * CALL_SECONDS[stage],
                "item_ms": 1_000 * PIECE_SECONDS[stage],
                "headroom_mb": 100.0,
                "handle_ttl_s": RESULT_TTL_SECONDS,
                "link_mbps": 1_000,
            },
        }

    return {
        "version": 1,
        "route_list": [
            {
                "name": "flight-notes",
                "host": "one.example",
                "prefix": "/notes/",
                "type": "streaming",
                "priority": 1,
                "public": False,
                "timeout_ms": 10_000,
                "target_latency_ms": 1_700,
                "target_itl_ms": 200,
                "service": "llm",
                "max_attempts": 2,
                "stream_resume": True,
                "session_affinity": True,
                "stages": [
                    {"service": "ledger", "after": [], "size_bytes": 8_000},
                    {"service": "roll", "after": [0], "size_bytes": 60_000},
                ],
            },
        ],
        "services": [
            service("ledger", 0),
            service("roll", 1),
            {
                "name": "llm",
                "health_path": "/healthz",
                "max_connections": 720,
                "engine": {"slots": 64, "kv_capacity_tokens": 557_011},
            },
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": "cidery", "api_keys": [KEY]}],
    }


@attrs.define(kw_only=True)
class Results:
    """All results that were ever made, and those that still exist.

    Attributes
    ----------
    pieces : dict of str to (str, int, int)
        Request, stage and number of the piece of each result, by its handle.
    held : set of str
        Handles of the results that exist.
    broken : list of str
        Pieces that were called with other inputs than those of their request.
    calls, gone, checked : int
        Calls of pieces, pieces whose inputs were gone, and pieces whose inputs were
        checked.
    called : dict of str to set of int
        Pieces of the second stage that were called, by request.
    """

    record: Record
    pieces: dict[str, tuple[str, int, int]] = attrs.field(factory=dict)
    held: set[str] = attrs.field(factory=set)
    broken: list[str] = attrs.field(factory=list)
    calls: int = 0
    gone: int = 0
    checked: int = 0
    called: dict[str, set[int]] = attrs.field(factory=dict)

    def check(self, piece: dict) -> None:
        """Check that a piece of the second stage has each input once."""
        self.checked += 1
        self.called.setdefault(piece["id"], set()).add(piece["segment"])
        found = [self.pieces.get(handle) for handle in piece["inputs"]]
        wanted = [(piece["id"], 0, number) for number in range(PIECES[0])]
        if sorted(found, key=repr) == sorted(wanted, key=repr):
            return
        text = f"request {piece['id']} stage 1 piece {piece['segment']}: inputs "
        text += str(piece["inputs"])
        self.broken.append(text)
        self.record.write("MIXED: " + text)


@attrs.define(kw_only=True, eq=False)
class StageRunner(EndpointEmulator):
    """A runner of a stage, which fetches the inputs of pieces at their turn.

    Attributes
    ----------
    speed : float
        Factor on the time that work takes.
    grey : bool
        Whether it fails a part of its calls.
    """

    stage: int
    results: Results
    speed: float = 1.0
    grey: bool = False
    random_source: random.Random = attrs.field(factory=random.Random)
    own: set[str] = attrs.field(factory=set)
    on_call: Callable[..., None] = lambda runner, entries: None

    def lose_results(self) -> None:
        """Forget all results, as a crash does."""
        self.results.held -= self.own
        self.own.clear()

    async def _serve(self, request, reply) -> None:
        document = msgspec.json.decode(request.body)
        headers = {"x-attempt-id": request.attempt_id}
        if request.path == "/api/stage-free":
            self.results.held -= self.own.intersection(document["handles"])
            self.own -= set(document["handles"])
            await reply.send_response(200, headers)
            return
        self.results.calls += 1
        entries = []
        for piece in document["entries"]:
            self.results.record.write(
                f"{self.instance} runs {piece['id']} stage {piece['stage']} "
                f"piece {piece['segment']}"
            )
            if self.stage:
                self.results.check(piece)
            if not self.results.held.issuperset(piece.get("inputs", ())):
                self.results.gone += 1
                entries.append({"reason": "gone"})
                continue
            handle = f"{self.address}/{secrets.token_hex(6)}"
            self.results.pieces[handle] = (
                piece["id"],
                piece["stage"],
                piece["segment"],
            )
            self.results.held.add(handle)
            self.own.add(handle)
            entries.append({"handle": handle})
        if self.stage:
            self.on_call(self, document["entries"])
        worked = sum("handle" in entry for entry in entries)
        seconds = CALL_SECONDS[self.stage] + worked * PIECE_SECONDS[self.stage]
        await anyio.sleep(seconds * self.speed)
        if self.grey and self.random_source.random() < GREY_SHARE_OF_CALLS:
            self.results.record.write(f"{self.instance} fails a call with 500")
            await reply.send_response(500, headers)
            return
        body = msgspec.json.encode({"entries": entries})
        await reply.send_response(200, headers, body)


class Case:
    """The load and the disruptions."""

    def __init__(self, deployment: Deployment, record: Record):
        self.deployment = deployment
        self.record = record
        self.results = Results(record=record)
        self.random = random.Random(1)
        self.runners: list[list[StageRunner]] = [[], []]
        self.outcomes: dict[str, int] = {}
        self.crashes = 0
        self.next_crash_at = time.monotonic() + 5.0

    async def start_runners(self) -> None:
        """Start the runners of the stages and the engines."""
        deployment = self.deployment
        restarts = Restarts(down_seconds=CRASH_DOWN_SECONDS, expiry_seconds=3.6)
        for stage, service in enumerate(("ledger", "roll")):
            for number in range(1, WORKERS + 1):
                runner = StageRunner(
                    instance=f"{service}-{number}",
                    service=service,
                    slots=1,
                    places=2,
                    stage=stage,
                    results=self.results,
                    on_call=self.plan_crash,
                    speed=self.random.uniform(0.8, 1.25),
                    born=int(time.time() * 1_000),
                )
                self.runners[stage].append(runner)
                await deployment.tasks.start(
                    run_with_restarts, runner, deployment.store, restarts
                )
        for number in range(1, ENGINES + 1):
            engine = EngineEmulator(
                instance=f"llm-{number}",
                service="llm",
                slots=64,
                events=17,
                event_seconds=0.05,
                work_seconds=0.2,
            )
            await deployment.tasks.start(engine.run)
            deployment.store.announce(engine.instance, engine.entry())

    def plan_crash(self, grey: StageRunner, entries: list[dict]) -> None:
        """Crash a runner that holds the inputs of a request soon, if it is time.

        The request has pieces at another runner, which turns grey, and others that were
        not called yet.
        """
        now = time.monotonic()
        if not TROUBLE or now < self.next_crash_at:
            return
        called = self.results.called
        for piece in entries:
            inputs = set(piece["inputs"])
            if len(called[piece["id"]]) == PIECES[1]:
                continue
            for runner in self.runners[0]:
                if inputs & runner.own:
                    self.next_crash_at = now + CRASH_INTERVAL_SECONDS
                    self.deployment.tasks.start_soon(self._crash, runner, grey)
                    return

    async def _crash(self, runner: StageRunner, grey: StageRunner) -> None:
        self.record.write(f"{grey.instance} turns grey")
        grey.grey = True
        await anyio.sleep(CRASH_DELAY_SECONDS)
        self.record.write(f"{runner.instance} crashes")
        self.crashes += 1
        runner.lose_results()
        runner.crash()
        await anyio.sleep(GREY_SECONDS)
        grey.grey = False

    async def send(self, number: int) -> None:
        """Send one request and record its answer."""
        attempt_id = f"{number:016x}"
        gateway = self.random.choice(self.deployment.gateways)
        caller = Caller(address=gateway.address)
        headers = {
            "authorization": f"Token {KEY}",
            "x-attempt-id": attempt_id,
            "x-deadline-ms": str(int(1_000 * DEADLINE_SECONDS)),
            "x-model": "m",
            "x-token-usage": "2890,51",
            "x-prefix-hash": f"a{self.random.randrange(154):x}:2520,{number:x}:370",
            "x-chunk-count": ",".join(map(str, PIECES)),
            "x-chunk-key": f"{number:012x}",
        }
        self.record.write(f"sent {attempt_id} to {gateway.name}")
        text = "no answer"
        with anyio.move_on_after(DEADLINE_SECONDS):
            try:
                answer = await caller.request(
                    "POST", f"/notes/{number}", body=b"x" * 9_200, headers=headers
                )
                text = f"{answer.status} complete={answer.complete}"
            except (ConnectionLostError, OSError) as error:
                text = repr(error)
        await caller.close()
        self.outcomes[text] = self.outcomes.get(text, 0) + 1
        self.record.write(f"answered {attempt_id}: {text}")

    def judge(self) -> bool:
        """Return whether the rule was broken, and record the figures."""
        results = self.results
        for line in (
            f"answers: {self.outcomes}",
            f"crashes of runners of the first stage: {self.crashes}",
            f"calls of pieces: {results.calls}",
            f"pieces whose inputs were gone: {results.gone}",
            f"pieces of the second stage that were checked: {results.checked}",
            f"pieces that were given other inputs: {len(results.broken)}",
            *results.broken[:3],
        ):
            self.record.write(line)
            print(line)
        return bool(results.broken)


async def run(record: Record) -> int:
    """Run the case; return the exit code."""
    async with run_deployment() as deployment:
        await deployment.start_store(configuration())
        case = Case(deployment, record)
        await case.start_runners()
        await deployment.start_gateways(GATEWAYS)
        async with anyio.create_task_group() as tasks:
            ends = time.monotonic() + RUN_SECONDS
            number = 0
            while time.monotonic() < ends:
                number += 1
                tasks.start_soon(case.send, number)
                await anyio.sleep(case.random.expovariate(REQUESTS_PER_SECOND))
            await anyio.sleep(2.0)
            tasks.cancel_scope.cancel()
        return 1 if case.judge() else 0


def main() -> int:
    """Run the case within its time; 2 if it couldn't run."""
    record = Record(FOLDER / "record.txt")
    try:
        return anyio.run(run, record)
    except Exception as error:
        record.write(f"the case couldn't run: {error!r}")
        print(repr(error), file=sys.stderr)
        return 2
    finally:
        record.close()


if __name__ == "__main__":
    sys.exit(main())
