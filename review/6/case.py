"""One engine sends bytes without end in the bodies of its answers."""

import os
import pathlib
import random
import sys
import time

import anyio

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins_2 import Deployment, Record, run_deployment

from currantdyke.emulator import Caller, EngineEmulator, PlainEmulator
from currantdyke.http1 import ConnectionLostError

FOLDER = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "key-1"
ENGINES = 4
DESKS = 2
CALM_SECONDS = 5.0
TROUBLE_SECONDS = 30.0
STREAMS_PER_SECOND = 8.0
LOOKUPS_PER_SECOND = 8.0
TIMEOUT_SECONDS = 1.0
STREAM_TARGET_MS = 1_700
# First parts of prompts, which the streams share.
SUBJECTS = 154
# Callers give a stream up after a gap of four objectives.
STREAM_GAP_SECONDS = 6.8
LOOKUP_DEADLINE_SECONDS = 4.0
ANSWER_SLACK_SECONDS = 0.5
MIN_UNANSWERED = 8
CHUNK_BYTES = 64
# What the engine sends a second on each channel, in chunks like those of its events.
GARBAGE_BYTES_PER_SECOND = 200_000
GARBAGE_PERIOD_SECONDS = 0.02


def configuration() -> dict:
    """Return the operators' configuration."""
    route = {
        "host": "one.example",
        "priority": 1,
        "public": False,
    }
    return {
        "version": 1,
        "route_list": [
            route
            | {
                "name": "status-lookup",
                "prefix": "/status/",
                "type": "idempotent",
                "timeout_ms": int(1_000 * TIMEOUT_SECONDS),
                "target_latency_ms": 100,
                "service": "desk",
                "max_attempts": 2,
            },
            route
            | {
                "name": "flight-notes",
                "prefix": "/notes/",
                "type": "streaming",
                "timeout_ms": 10_000,
                "target_latency_ms": STREAM_TARGET_MS,
                "target_itl_ms": 200,
                "service": "llm",
                "max_attempts": 1,
                "stream_resume": False,
                "session_affinity": True,
            },
        ],
        "services": [
            {"name": "desk", "health_path": "/healthz", "max_connections": 192},
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


class Case:
    """What callers sent, and when it was answered."""

    def __init__(self, deployment: Deployment, record: Record):
        self.deployment = deployment
        self.record = record
        self.random = random.Random(1)
        self.troubled = False
        self.numbers = iter(range(1, 1_000_000))
        # Start and duration of each lookup; infinite without an answer.
        self.lookups: list[tuple[float, float, int]] = []
        self.probes: list[float] = []
        self.garbage = 0

    async def spoil(self, request, reply) -> bool:
        """Answer with a sound head, and bytes that are no events, without end."""
        if not self.troubled:
            return False
        self.garbage += 1
        self.record.write(f"faulty engine: bytes without end for {request.attempt_id}")
        headers = {
            "content-type": "text/event-stream",
            "x-attempt-id": request.attempt_id,
            "x-server-signature": "signed.llm-1",
        }
        await reply.send_head(200, headers)
        started = time.monotonic()
        sent = 0
        # One send holds many chunks; each is as long as an event or two.
        chunk = b"%x\r\n%s\r\n" % (CHUNK_BYTES, b"x" * CHUNK_BYTES)
        while True:
            due = (time.monotonic() - started) * GARBAGE_BYTES_PER_SECOND
            count = int((due - sent) / CHUNK_BYTES)
            if count > 0:
                await reply.send_raw(chunk * count)
                sent += count * CHUNK_BYTES
            await anyio.sleep(GARBAGE_PERIOD_SECONDS)

    def headers(self, attempt_id: str, seconds: float) -> dict[str, str]:
        """Return the headers of a request."""
        return {
            "authorization": f"Token {KEY}",
            "x-attempt-id": attempt_id,
            "x-deadline-ms": str(int(1_000 * seconds)),
        }

    async def look_up(self) -> None:
        """Send one lookup and record when its final answer came."""
        number = next(self.numbers)
        attempt_id = f"{number:016x}"
        gateway = self.random.choice(self.deployment.gateways)
        caller = Caller(address=gateway.address)
        started, status = time.monotonic(), 0
        with anyio.move_on_after(LOOKUP_DEADLINE_SECONDS):
            try:
                answer = await caller.request(
                    "GET",
                    f"/status/{number}",
                    headers=self.headers(attempt_id, LOOKUP_DEADLINE_SECONDS),
                )
                status = answer.status
            except (ConnectionLostError, OSError) as error:
                self.record.write(f"lookup {attempt_id}: {error!r}")
                status = -1
        seconds = time.monotonic() - started
        await caller.close()
        if status == 0:
            seconds = float("inf")
        if self.troubled or not TROUBLE:
            self.lookups.append((started, seconds, status))
        self.record.write(
            f"lookup {attempt_id} at {gateway.name}: {status} {seconds:.3f}"
        )

    async def stream(self) -> None:
        """Send one stream, and give it up after the gap that the pages name."""
        number = next(self.numbers)
        attempt_id = f"{number:016x}"
        gateway = self.random.choice(self.deployment.gateways)
        caller = Caller(address=gateway.address)
        subject = self.random.randrange(SUBJECTS)
        headers = self.headers(attempt_id, 10.0) | {
            "x-model": "m",
            "x-token-usage": "2890,51",
            "x-prefix-hash": f"a{subject:x}:2520,{number:x}:370",
        }
        text = "given up"
        with anyio.move_on_after(STREAM_GAP_SECONDS):
            try:
                answer = await caller.request(
                    "POST", f"/notes/{number}", body=b"x" * 9_200, headers=headers
                )
                text = f"{answer.status} complete={answer.complete}"
            except (ConnectionLostError, OSError) as error:
                text = repr(error)
        await caller.close()
        self.record.write(f"stream {attempt_id} at {gateway.name}: {text}")

    async def probe(self) -> None:
        """Ask each gateway for its readiness once a second, as the platform does."""
        while True:
            for gateway in self.deployment.gateways:
                status, seconds = await gateway.probe()
                self.probes.append(seconds if status == 200 else float("inf"))
                if status != 200:
                    self.record.write(f"{gateway.name}: no 200 within a second")
            await anyio.sleep(1.0)

    def peaks(self) -> list[int]:
        """Return the peak memory of each gateway process that runs, in kB."""
        found = []
        for gateway in self.deployment.gateways:
            if gateway.process.poll() is None:
                status = pathlib.Path(f"/proc/{gateway.process.pid}/status")
                line = next(
                    line
                    for line in status.read_text().splitlines()
                    if line.startswith("VmHWM")
                )
                found.append(int(line.split()[1]))
        return found

    def judge(self) -> bool:
        """Return whether the rule was broken, and record the figures."""
        late = [entry for entry in self.lookups if entry[1] > TIMEOUT_SECONDS]
        limit = TIMEOUT_SECONDS + ANSWER_SLACK_SECONDS
        silent = [entry for entry in late if entry[1] > limit]
        missed = sum(seconds == float("inf") for seconds in self.probes)
        for line in (
            f"lookups: {len(self.lookups)}",
            f"unanswered at their timeout: {len(late)}",
            f"still unanswered half a second later: {len(silent)}",
            f"probes of readiness: {len(self.probes)}, without a 200: {missed}",
            f"answers with bytes without end: {self.garbage}",
            f"peak memory of the gateways in kB: {self.peaks()}",
        ):
            self.record.write(line)
            print(line)
        return len(late) >= MIN_UNANSWERED and 2 * len(silent) > len(late)


async def run(record: Record) -> int:
    """Run the case; return the exit code."""
    async with run_deployment() as deployment:
        await deployment.start_store(configuration())
        case = Case(deployment, record)
        for number in range(1, ENGINES + 1):
            engine = EngineEmulator(
                instance=f"llm-{number}",
                service="llm",
                slots=64,
                events=17,
                event_seconds=0.05,
                work_seconds=0.1,
            )
            if number == 1:
                engine.handle_first = case.spoil
            await deployment.tasks.start(engine.run)
            deployment.store.announce(engine.instance, engine.entry())
        for number in range(1, DESKS + 1):
            desk = PlainEmulator(
                instance=f"desk-{number}", service="desk", slots=6, work_seconds=0.0225
            )
            await deployment.tasks.start(desk.run)
            deployment.store.announce(desk.instance, desk.entry())
        await deployment.start_gateways(2)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(case.probe)
            ends = time.monotonic() + CALM_SECONDS + TROUBLE_SECONDS
            begins = time.monotonic() + CALM_SECONDS
            while time.monotonic() < ends:
                if TROUBLE and time.monotonic() >= begins and not case.troubled:
                    case.troubled = True
                    record.write("one of the engines turns faulty")
                tasks.start_soon(case.look_up)
                tasks.start_soon(case.stream)
                await anyio.sleep(case.random.expovariate(LOOKUPS_PER_SECOND))
            await anyio.sleep(LOOKUP_DEADLINE_SECONDS + 1.0)
            tasks.cancel_scope.cancel()
        ended = [g.name for g in deployment.gateways if g.process.poll() is not None]
        record.write(f"gateways that ended by themselves: {ended}")
        return 1 if case.judge() or ended else 0


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
