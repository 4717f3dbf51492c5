"""LIMIT: brittle model runners are given more than they have room for and fall over."""

import asyncio
import pathlib
import random
import sys
import time

from standin_deployment import (
    BOUNDS,
    HOST,
    KEY,
    CouldNotRunError,
    Deployment,
    configuration,
    run_case,
    stream_route,
    trouble,
)
from standin_http import Channel, Request
from standin_runners import NOT_EXECUTED, EngineRunner

# What was sent, answered and run.
RECORD = pathlib.Path(__file__).with_name("record.txt")
ENGINES = 4
SLOTS = 12
# Waiting requests for which a runner has room, before and while it is brittle.
PLACES = 24
BRITTLE_PLACES = 1
BRITTLE = 3
REQUESTERS = 56
TRIES = 2
DOWN_SECONDS = 2.0
DEADLINE_SECONDS = 12.0
# Seconds since the start of traffic.
BRITTLE_AT = 8.0
END = 24.0


class BrittleEngine(EngineRunner):
    """A model runner with slots, that falls over if it rejects many while brittle."""

    def __init__(self, deployment: Deployment, *arguments, **keywords):
        super().__init__(None, *arguments, slots=SLOTS, **keywords)
        self.deployment = deployment
        self.brittle_since: float | None = None
        self.present = 0
        self.room = asyncio.Semaphore(SLOTS)
        self.rejected: list[float] = []
        self.falls: list[float] = []
        self.all_rejected = 0
        self.cut = 0

    def headers(self, request: Request) -> dict[str, str]:
        """Say in all answers that it is brittle."""
        headers = super().headers(request)
        if self.brittle_since is not None:
            headers["Server-Brittle"] = str(BRITTLE)
        return headers

    async def serve(self, request: Request, channel: Channel) -> None:
        """Serve a request once a slot is free, or turn it away for want of room."""
        fragile = self._is_fragile()
        if self.present >= SLOTS + (BRITTLE_PLACES if fragile else PLACES):
            await channel.answer(503, self.headers(request) | NOT_EXECUTED)
            self._note_rejection(fragile)
            return
        self.present += 1
        try:
            async with self.room:
                if not channel.has_left():
                    await super().serve(request, channel)
        finally:
            self.present -= 1

    def _is_fragile(self) -> bool:
        since = self.brittle_since
        contact = BOUNDS["contact_ms"] / 1_000
        return since is not None and time.monotonic() - since >= contact

    def _note_rejection(self, fragile: bool) -> None:
        now = time.monotonic()
        self.all_rejected += 1
        self.rejected = [at for at in self.rejected if at > now - 1.0] + [now]
        if fragile and len(self.rejected) > BRITTLE:
            self.falls.append(now)
            self.cut += min(self.present, SLOTS)
            self.record.write(
                f"{self.instance} turns {len(self.rejected)} requests away in a second,"
                f" and falls over with {self.present} requests"
            )
            self.rejected = []
            self.deployment.run(self._fall_over())

    async def _fall_over(self) -> None:
        self.deployment.withdraw(self.instance, remove=False)
        self.crash()
        await asyncio.sleep(DOWN_SECONDS)
        self.present = 0
        self.room = asyncio.Semaphore(SLOTS)
        await self.start()
        self.deployment.announce(self.instance, self.entry())
        self.record.write(f"{self.instance} is back")


class Requester:
    """Sends one stream's request after the other, and tries some times."""

    def __init__(self, deployment: Deployment, number: int):
        self.deployment = deployment
        self.rng = random.Random(number)
        self.session = f"{self.rng.getrandbits(32):08x}"
        self.served = 0
        self.lost = 0

    async def run(self, end: float) -> None:
        """Send until the end."""
        await asyncio.sleep(self.rng.uniform(0.0, 3.0))
        while time.monotonic() < end:
            await self.send()
            await asyncio.sleep(self.rng.uniform(0.0, 0.2))

    async def send(self) -> None:
        """Send one request, over all tries."""
        until = time.monotonic() + DEADLINE_SECONDS
        prompt = f"{self.rng.getrandbits(64):016x}".encode()
        gateways = list(self.deployment.gateways)
        self.rng.shuffle(gateways)
        for number in range(TRIES):
            attempt_id = f"{self.rng.getrandbits(64):016x}"
            left = until - time.monotonic()
            headers = {
                "Host": HOST,
                "X-Attempt-Id": attempt_id,
                "X-Deadline-Ms": str(max(1, int(left * 1_000))),
                "Authorization": f"Token {KEY}",
                "X-Model": "m",
                "X-Token-Usage": "1460,40",
                "X-Prefix-Hash": f"{self.session}:800,{attempt_id[:8]}:660",
            }
            gateway = gateways[number % len(gateways)]
            client = gateway.client()
            answer = await client.request(
                "POST", "/dossier/1", headers, prompt, timeout=left
            )
            client.close()
            self.deployment.record.write(
                f"{attempt_id} by {gateway.name} gets {answer.status} {answer.error}"
            )
            if answer.status == 200 and answer.complete:
                self.served += 1
                return
            pause = float(answer.headers.get("retry-after", "0.1"))
            left = until - time.monotonic()
            if left < 1.0:
                break
            await asyncio.sleep(min(pause, left / 3))
        self.lost += 1


async def play(deployment: Deployment) -> int:
    """Play the case; return the exit code."""
    record = deployment.record
    zones = [gateway.zone for gateway in deployment.gateways]
    engines = []
    for number in range(ENGINES):
        engine = BrittleEngine(
            deployment,
            record,
            deployment.runner_host,
            "pomace-llm",
            zones[number % len(zones)],
        )
        engine.events = 40
        engine.event_seconds = 0.05
        engines.append(engine)
        await engine.start()
        deployment.announce(engine.instance, engine.entry())
    document = configuration(7, [stream_route(max_attempts=2)])
    for service in document["services"]:
        if "engine" in service:
            service["engine"]["slots"] = SLOTS
    await deployment.start(document)
    await asyncio.sleep(2.0)
    started = time.monotonic()
    requesters = [Requester(deployment, number) for number in range(REQUESTERS)]
    async with asyncio.TaskGroup() as tasks:
        for requester in requesters:
            tasks.create_task(requester.run(started + END))
        await asyncio.sleep(BRITTLE_AT)
        before = sum(engine.all_rejected for engine in engines)
        record.write(f"{before} requests were turned away so far")
        if trouble():
            record.write(f"the runners say that they are brittle: {BRITTLE}")
            for engine in engines:
                engine.brittle_since = time.monotonic()
    falls = sum(len(engine.falls) for engine in engines)
    served = sum(requester.served for requester in requesters)
    lost = sum(requester.lost for requester in requesters)
    turned = sum(engine.all_rejected for engine in engines)
    cut = sum(engine.cut for engine in engines)
    allowed = 2 + ENGINES / 10
    record.write(f"served {served}, not served {lost}, turned away by runners {turned}")
    record.write(f"streams at work in runners that fell over: {cut}")
    record.write(
        f"the {ENGINES} runners fell over {falls} times; {allowed} are allowed"
    )
    if served < 50:
        raise CouldNotRunError("hardly a request was served")
    return 1 if falls > allowed else 0


if __name__ == "__main__":
    sys.exit(run_case(play, RECORD, gateways=3))
