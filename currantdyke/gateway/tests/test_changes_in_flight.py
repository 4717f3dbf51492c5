import unittest

import anyio

from currantdyke.emulator import StageEmulator
from currantdyke.gateway.tests.builders import (
    KEY,
    STREAM_HEADERS,
    events,
    pause_after,
    start_engines,
    start_plain,
    work,
)
from currantdyke.testing.gateways import (
    configuration,
    plain_route,
    run_deployment,
    run_on_sockets,
    stream_route,
    wait_until,
)

STAGES = [{"service": "rank", "after": [], "size_bytes": 1_000}]
STAGE_HEADERS = STREAM_HEADERS | {"x-chunk-count": "1", "x-chunk-key": "k"}
STAGE_SECONDS = 0.6
CHANGE_SECONDS = 0.3
GATEWAYS = 3


def documents():
    """Return configurations that differ from the first one, by what they change."""
    stream = stream_route(stages=STAGES, timeout_ms=9_000)
    plain = plain_route(timeout_ms=9_000)
    first = configuration(1, [plain, stream])
    services = first["services"]
    without = {
        name: [service for service in services if service["name"] != name]
        for name in ("plain", "engine", "rank")
    }
    renamed = without["rank"] + [{**services[3], "name": "sort"}]
    stages = [{"service": "sort", "after": [], "size_bytes": 1_000}]
    routes = {
        "routes removed": [],
        "services of routes moved": [
            {**plain, "service": "other"},
            {**stream, "service": "other", "stages": []},
        ],
        "a route joins the group": [
            plain,
            stream,
            stream_route(name="r-2", prefix="/s2/", service="a-first", stages=STAGES),
        ],
        "time-outs": [{**plain, "timeout_ms": 100}, {**stream, "timeout_ms": 100}],
        "attempts": [{**plain, "max_attempts": 1}, {**stream, "max_attempts": 1}],
    }
    changed = {name: configuration(2, given) for name, given in routes.items()}
    for name, others in without.items():
        changed[f"no service {name}"] = configuration(
            2, [plain, stream], services=others
        )
    changed["stage renamed"] = configuration(
        2, [plain, {**stream, "stages": stages}], services=renamed
    )
    return first, changed


class TestChangesInFlight(unittest.TestCase):
    async def run_beside_change(self, deployment, change):
        """Return the answers to a request of each kind at each gateway."""
        answers = {}

        async def ask(name, number, target, headers, delay):
            await anyio.sleep(delay)
            caller = deployment.caller(number)
            answers[name, number] = await caller.request(
                "GET", target, headers=headers | {"x-deadline-ms": "9000"}
            )

        async with anyio.create_task_group() as tasks:
            for number in range(GATEWAYS):
                tasks.start_soon(ask, "plain", number, "/plain/", KEY, 0.0)
                for name, delay in (("early", 0.0), ("late", CHANGE_SECONDS - 0.02)):
                    tasks.start_soon(
                        ask, name, number, "/stream/", STAGE_HEADERS, delay
                    )
            await anyio.sleep(CHANGE_SECONDS)
            await change()
        return answers

    def check_answers(self, deployment, answers):
        self.assertEqual(len(answers), 3 * GATEWAYS)
        for name, answer in answers.items():
            with self.subTest(request=name):
                self.assertIn(answer.status, (200, 503))
                self.assertTrue(answer.complete)
                if answer.status == 200:
                    whole = b"done" if name[0] == "plain" else events(1, 5)
                    self.assertEqual(answer.body, whole)
        lines = [line for entry in deployment.lines.values() for line in entry]
        errors = [line for line in lines if line["event"] == "internal_error"]
        self.assertEqual(errors, [])

    async def start(self, deployment):
        await start_plain(deployment, work(0.6), work(0.6))
        await start_engines(deployment, pause_after(2, 0.8), pause_after(2, 0.8))
        for number in range(2):
            await deployment.endpoint(
                StageEmulator, f"s-{number}", "rank", work_seconds=STAGE_SECONDS
            )
        gateways = [await deployment.gateway() for _ in range(GATEWAYS)]
        for gateway in gateways:
            await wait_until(lambda g=gateway: len(g.directory.daemons) == GATEWAYS)
        return gateways

    # Guards against requests in progress that end without an answer or a refusal when
    # the configuration changes.
    @run_on_sockets
    async def test_requests_in_progress_are_answered_beside_a_change(self):
        first, changed = documents()
        for name, document in changed.items():
            async with run_deployment(first) as deployment:
                await self.start(deployment)

                async def change(given=document, to=deployment):
                    to.store.configure(given)

                answers = await self.run_beside_change(deployment, change)
                with self.subTest(change=name):
                    self.check_answers(deployment, answers)

    # Guards against requests in progress that end without an answer or a refusal when
    # the settings or the endpoints of a gateway change.
    @run_on_sockets
    async def test_requests_in_progress_are_answered_beside_other_changes(self):
        async def change_bounds():
            for gateway in gateways:
                gateway.context.set_retry_bounds(ratio=0.1, window=5.0, slack=3.0)
                gateway.stage_retry_budgets.clear()

        async def withdraw_endpoints():
            for instance in ("plain-0", "engine-0", "s-0"):
                deployment.store.withdraw(instance)

        async def move_groups():
            for gateway in gateways:
                gateway.scheduler_client.groups = {"engine": "a", "rank": "b"}

        async def stop_one():
            gateways[1].stop_requested.set()

        for change in (change_bounds, withdraw_endpoints, move_groups, stop_one):
            async with run_deployment(documents()[0]) as deployment:
                gateways = await self.start(deployment)
                answers = await self.run_beside_change(deployment, change)
                with self.subTest(change=change.__name__):
                    self.check_answers(deployment, answers)


if __name__ == "__main__":
    unittest.main()
