import unittest

import anyio

from currantdyke.emulator import EngineEmulator, StageEmulator
from currantdyke.links.link import PING_INTERVAL_SECONDS, SILENCE_TIMEOUT_SECONDS
from currantdyke.testing.gateways import (
    configuration,
    run_deployment,
    run_on_sockets,
    stream_route,
    wait_until,
)

HEADERS = {
    "authorization": "Token k1",
    "x-token-usage": "100,50",
    "x-prefix-hash": "ab:60,cd:40",
}
STAGES = [
    {"service": "rank", "after": [], "size_bytes": 1_000},
    {"service": "rank", "after": [0], "size_bytes": 1_000},
    {"service": "rank", "after": [], "size_bytes": 5_000},
]
# Time in which a link that loses a notification breaks.
LINK_LOSS_SECONDS = SILENCE_TIMEOUT_SECONDS + PING_INTERVAL_SECONDS
POLL_INTERVAL_SECONDS = 0.02


def owned_state(gateway):
    """Return the attempt ids that a gateway keeps as the owner of their scheduling."""
    attempt_ids = set().union(*gateway.attempts_by_link.values())
    attempt_ids |= gateway.scheduler.chains.keys()
    return sorted(attempt_ids | gateway.scheduler.engines.requests.keys())


def events(first: int, last: int) -> bytes:
    return b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(first, last + 1))


class TestStreams(unittest.TestCase):
    @run_on_sockets
    async def test_events_are_forwarded_unchanged(self):
        async with run_deployment(configuration(1, [stream_route()])) as deployment:
            await deployment.endpoint(EngineEmulator, "e-1", "engine")
            await deployment.gateway()
            answer = await deployment.caller().request(
                "POST", "/stream/", headers=HEADERS
            )
        self.assertEqual((answer.status, answer.complete), (200, True))
        self.assertEqual(answer.body, events(1, 5))

    @run_on_sockets
    async def test_resumable_stream_continues_after_its_last_complete_event(self):
        async with run_deployment(configuration(1, [stream_route()])) as deployment:
            engines = [
                await deployment.endpoint(
                    EngineEmulator, f"e-{n}", "engine", break_after=2, work_seconds=0.1
                )
                for n in range(2)
            ]
            await deployment.gateway()
            caller = deployment.caller()
            await caller.send("POST", "/stream/", headers=HEADERS)
            await wait_until(lambda: any(engine.runs for engine in engines))
            broken, healthy = sorted(engines, key=lambda engine: not engine.runs)
            healthy.break_after = None
            answer = await caller.answer()
        self.assertTrue(answer.complete)
        self.assertEqual(answer.body, events(1, 5))
        signature = answer.headers["x-server-signature"]
        self.assertEqual(signature, f"signed.{broken.instance}")
        self.assertEqual(healthy.arrivals[0].headers["last-event-id"], "2")

    @run_on_sockets
    async def test_non_resumable_stream_is_truncated_and_not_run_again(self):
        route = stream_route(stream_resume=False, max_attempts=2)
        async with run_deployment(configuration(1, [route])) as deployment:
            engines = [
                await deployment.endpoint(
                    EngineEmulator, f"e-{n}", "engine", break_after=2
                )
                for n in range(2)
            ]
            await deployment.gateway()
            answer = await deployment.caller().request(
                "POST", "/stream/", headers=HEADERS
            )
        self.assertFalse(answer.complete)
        self.assertEqual(answer.body, events(1, 2))
        self.assertEqual(sum(len(engine.runs) for engine in engines), 1)

    @run_on_sockets
    async def test_non_resumable_stream_lost_before_its_first_event_gives_502(self):
        route = stream_route(stream_resume=False)
        async with run_deployment(configuration(1, [route])) as deployment:
            await deployment.endpoint(EngineEmulator, "e-1", "engine", break_after=0)
            await deployment.gateway()
            answer = await deployment.caller().request(
                "POST", "/stream/", headers=HEADERS
            )
        self.assertEqual(answer.status, 502)

    @run_on_sockets
    async def test_disconnect_of_the_caller_stops_the_engine(self):
        async with run_deployment(configuration(1, [stream_route()])) as deployment:
            engine = await deployment.endpoint(
                EngineEmulator, "e-1", "engine", events=500
            )
            await deployment.gateway()
            caller = deployment.caller()
            await caller.send("POST", "/stream/", headers=HEADERS)
            await wait_until(lambda: engine.runs)
            await caller.close()
            await wait_until(lambda: engine.stopped, seconds=0.5)

    @run_on_sockets
    async def test_request_to_a_full_engine_is_sent_to_another(self):
        async def refuse(request, reply):
            await reply.send_response(503, {"x-not-executed": "1"})
            return True

        async with run_deployment(configuration(1, [stream_route()])) as deployment:
            await deployment.endpoint(
                EngineEmulator, "e-1", "engine", handle_first=refuse
            )
            healthy = await deployment.endpoint(EngineEmulator, "e-2", "engine")
            await deployment.gateway()
            answers = [
                await deployment.caller().request("POST", "/stream/", headers=HEADERS)
                for _ in range(4)
            ]
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertEqual(len(healthy.runs), 4)


class TestMemory(unittest.TestCase):
    @run_on_sockets
    async def test_ended_requests_leave_no_state_behind(self):
        async def refuse(request, reply):
            await reply.send_response(503, {"x-not-executed": "1"})
            return True

        route = stream_route(stages=STAGES[2:])
        headers = HEADERS | {"x-chunk-count": "1", "x-chunk-key": "k"}
        async with run_deployment(configuration(1, [route])) as deployment:
            await deployment.endpoint(StageEmulator, "s-1", "rank")
            engine = await deployment.endpoint(EngineEmulator, "e-1", "engine")
            gateways = [await deployment.gateway() for _ in range(2)]
            for gateway in gateways:
                await wait_until(lambda g=gateway: len(g.directory.daemons) == 2)
            for handle_first in (engine.handle_first, refuse):
                engine.handle_first = handle_first
                for number in range(6):
                    caller = deployment.caller(number % 2)
                    await caller.request("POST", "/stream/", headers=headers)
            deployment.store.remove("servers/s-1")
            caller = deployment.caller()
            await caller.request("POST", "/stream/", headers=headers)
            answered_at = anyio.current_time()
            for gateway in gateways:
                await wait_until(lambda g=gateway: not g.stages.workers)
                self.assertEqual(gateway.scheduler_client.placed_by, {})
            # The notification that ends a chain at its owner is sent with the answer; a
            # link that loses it breaks, which ends the chain too.
            left = answered_at + LINK_LOSS_SECONDS - anyio.current_time()
            with anyio.move_on_after(max(0.0, left)):
                while any(map(owned_state, gateways)):
                    await anyio.sleep(POLL_INTERVAL_SECONDS)
            self.assertEqual([owned_state(gateway) for gateway in gateways], [[], []])


class TestStages(unittest.TestCase):
    @run_on_sockets
    async def test_stage_results_reach_later_stages_and_the_engine(self):
        route = stream_route(stages=STAGES)
        headers = HEADERS | {"x-chunk-count": "2,3,1", "x-chunk-key": "the-key"}
        async with run_deployment(configuration(1, [route])) as deployment:
            workers = [
                await deployment.endpoint(StageEmulator, f"s-{n}", "rank")
                for n in range(2)
            ]
            engine = await deployment.endpoint(EngineEmulator, "e-1", "engine")
            await deployment.gateway()
            answer = await deployment.caller().request(
                "POST", "/stream/", headers=headers
            )
            await wait_until(lambda: not any(worker.results for worker in workers))
        self.assertEqual(answer.status, 200)
        pieces = [piece for worker in workers for piece in worker.pieces]
        by_position = {(piece["stage"], piece["segment"]): piece for piece in pieces}
        self.assertEqual(len(pieces), 6)
        self.assertEqual(
            {by_position[0, 0]["key"], by_position[2, 0]["key"]}, {"the-key"}
        )
        self.assertEqual(len(by_position[1, 0]["inputs"]), 2)
        self.assertEqual(by_position[1, 0]["inputs"], by_position[1, 2]["inputs"])
        inputs = engine.arrivals[0].headers["x-input-count"].split(",")
        self.assertEqual(len(set(inputs)), 4)

    @run_on_sockets
    async def test_stage_without_pieces_gives_the_engine_no_inputs(self):
        route = stream_route(stages=STAGES[2:])
        headers = HEADERS | {"x-chunk-count": "0", "x-chunk-key": "k"}
        async with run_deployment(configuration(1, [route])) as deployment:
            worker = await deployment.endpoint(StageEmulator, "s-1", "rank")
            engine = await deployment.endpoint(EngineEmulator, "e-1", "engine")
            await deployment.gateway()
            answer = await deployment.caller().request(
                "POST", "/stream/", headers=headers
            )
        self.assertEqual(answer.status, 200)
        self.assertEqual(worker.pieces, [])
        self.assertEqual(engine.arrivals[0].headers["x-input-count"], "")

    @run_on_sockets
    async def test_stage_runs_at_another_worker_after_a_reset(self):
        async def reset(request, reply):
            await reply.reset()

        route = stream_route(stages=STAGES[2:])
        headers = HEADERS | {"x-chunk-count": "3", "x-chunk-key": "k"}
        async with run_deployment(configuration(1, [route])) as deployment:
            await deployment.endpoint(StageEmulator, "s-1", "rank", handle_first=reset)
            await deployment.endpoint(StageEmulator, "s-2", "rank")
            await deployment.endpoint(EngineEmulator, "e-1", "engine")
            await deployment.gateway()
            answers = [
                await deployment.caller().request("POST", "/stream/", headers=headers)
                for _ in range(3)
            ]
        self.assertEqual({answer.status for answer in answers}, {200})

    @run_on_sockets
    async def test_disconnect_of_the_caller_drops_its_waiting_stages(self):
        route = stream_route(stages=STAGES)
        headers = HEADERS | {"x-chunk-count": "2,3,1", "x-chunk-key": "k"}
        async with run_deployment(configuration(1, [route])) as deployment:
            worker = await deployment.endpoint(
                StageEmulator, "s-1", "rank", work_seconds=0.2
            )
            engine = await deployment.endpoint(EngineEmulator, "e-1", "engine")
            gateway = await deployment.gateway()
            caller = deployment.caller()
            await caller.send("POST", "/stream/", headers=headers)
            await wait_until(lambda: worker.arrivals)
            await caller.close()
            await wait_until(lambda: not gateway.scheduler.chains, seconds=0.5)
            await anyio.sleep(0.4)
            await wait_until(lambda: not worker.results)
        self.assertEqual(engine.arrivals, [])
        self.assertLessEqual(len(worker.pieces), 3)


if __name__ == "__main__":
    unittest.main()
