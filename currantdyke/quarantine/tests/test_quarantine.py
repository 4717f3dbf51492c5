import contextlib
import unittest
from unittest import mock

import anyio
import msgspec

from currantdyke.quarantine import Quarantine, fingerprint, fingerprint_of
from currantdyke.quarantine.tests.builders import CRASHING_INPUT, make_crashing, restart
from currantdyke.testing import fleet_in_memory, run_virtual
from currantdyke.testing.builders import build_exchange

CALL_PATH = "/v1/services/entry-desk"
MAX_CRASHES = 3


async def submit(fleet, content=CRASHING_INPUT, deadline="6"):
    async with fleet.caller("entry-1") as client:
        return await client.post(
            CALL_PATH, json={"input": content}, headers={"x-deadline-seconds": deadline}
        )


async def restart_crashed(fleet, crashes):
    """Restart crashed endpoints periodically."""
    while True:
        await anyio.sleep(0.5)
        for name in fleet.standins:
            if f"{name}:1" not in fleet.network.apps:
                restart(fleet, name, crashes)


@contextlib.asynccontextmanager
async def crashing_fleet(endpoints):
    """Run a daemon with endpoints that crash and are restarted."""
    crashes = []
    async with fleet_in_memory(endpoints=endpoints) as fleet:
        make_crashing(fleet, "entry-desk", crashes)
        fleet.tasks.start_soon(restart_crashed, fleet, crashes)
        yield fleet, crashes


def build_quarantine(time):
    return Quarantine(now=lambda: time["seconds"])


class TestFingerprint(unittest.TestCase):
    def test_fingerprint_depends_on_content_and_not_on_id_or_order_of_keys(self):
        async def scenario():
            one = build_exchange(input={"a": 1, "b": 2}, request_id="x")
            two = build_exchange(input={"b": 2, "a": 1}, request_id="y")
            others = [
                build_exchange(input={"a": 1}),
                build_exchange(input={"a": 1, "b": 2}, workspace="ibadan"),
                build_exchange(input={"a": 1, "b": 2}, pipeline="other"),
            ]
            return [fingerprint_of(exchange) for exchange in (one, two, *others)]

        fingerprints = run_virtual(scenario)
        self.assertEqual(fingerprints[0], fingerprints[1])
        self.assertEqual(len(set(fingerprints)), 4)

    def test_repeated_calls_encode_the_input_once(self):
        async def scenario():
            exchange = build_exchange(input={"a": 1})
            with mock.patch.object(
                fingerprint.msgspec.json, "encode", wraps=msgspec.json.encode
            ) as encode:
                found = {fingerprint_of(exchange) for _ in range(3)}
            return found, encode.call_count

        found, calls = run_virtual(scenario)
        self.assertEqual((len(found), calls), (1, 1))


class TestRefusal(unittest.TestCase):
    def test_request_is_refused_only_after_a_crash_while_running_alone(self):
        async def scenario():
            quarantine = build_quarantine({"seconds": 0.0})
            exchange = build_exchange()
            name = fingerprint_of(exchange)
            for _ in range(9):
                quarantine.count_crash(
                    name, alone=False, in_flight=5, service="encoder"
                )
            before = quarantine.refuse(exchange)
            quarantine.count_crash(name, alone=True, in_flight=1, service="encoder")
            return before, quarantine.refuse(exchange)

        before, after = run_virtual(scenario)
        self.assertIsNone(before)
        self.assertEqual(after.kind.code, "quarantined")
        self.assertGreater(after.retry_after, 0.0)

    def test_refusal_expires_and_can_be_lifted(self):
        async def scenario():
            time = {"seconds": 0.0}
            quarantine = build_quarantine(time)
            exchange = build_exchange()
            name = fingerprint_of(exchange)

            def crash():
                quarantine.count_crash(name, alone=True, in_flight=1, service="encoder")

            crash()
            crash()
            seen = [quarantine.refuse(exchange) is not None]
            self.assertTrue(quarantine.lift(name))
            seen.append(quarantine.refuse(exchange) is not None)
            crash()
            seen.append(quarantine.refuse(exchange) is not None)
            crash()
            seen.append(quarantine.refuse(exchange) is not None)
            time["seconds"] = 601.0
            seen.append(quarantine.refuse(exchange) is not None)
            await quarantine.remove_expired()
            return seen, quarantine.records

        seen, left = run_virtual(scenario)
        self.assertEqual(seen, [True, False, False, True, False])
        self.assertEqual(left, {})


class TestEndToEnd(unittest.TestCase):
    def test_crashes_are_bounded_for_any_number_of_resends(self):
        async def scenario():
            async with crashing_fleet(endpoints=4) as (fleet, crashes):
                codes = []
                for _ in range(24):
                    answer = await submit(fleet)
                    codes.append(answer.json()["error"]["code"])
                    await anyio.sleep(0.3)
                return len(crashes), codes

        crashes, codes = run_virtual(scenario)
        self.assertLessEqual(crashes, MAX_CRASHES)
        self.assertEqual(set(codes[-18:]), {"quarantined"})

    def test_copies_in_close_succession_cause_a_bounded_number_of_crashes(self):
        async def scenario():
            async with crashing_fleet(endpoints=8) as (fleet, crashes):
                async with anyio.create_task_group() as tasks:
                    for _ in range(24):
                        tasks.start_soon(submit, fleet)
                        await anyio.sleep(0.05)
                return len(crashes)

        self.assertLessEqual(run_virtual(scenario), MAX_CRASHES)

    def test_simultaneous_copies_crash_at_most_one_endpoint_each(self):
        async def scenario():
            async with crashing_fleet(endpoints=8) as (fleet, crashes):
                async with anyio.create_task_group() as tasks:
                    for _ in range(6):
                        tasks.start_soon(submit, fleet)
                first = len(crashes)
                for _ in range(6):
                    await submit(fleet)
                return first, len(crashes)

        first, all_crashes = run_virtual(scenario)
        self.assertLessEqual(first, 6)
        self.assertEqual(all_crashes, first)

    def test_other_requests_in_flight_at_a_crash_are_all_answered(self):
        async def scenario():
            crashes, answers = [], []
            async with fleet_in_memory(endpoints=4) as fleet:
                make_crashing(fleet, "entry-desk", crashes)
                for standin in fleet.standins.values():
                    standin.seconds = 0.2
                others = fleet.daemons["entry-1"].endpoints.of_service("entry-desk")
                for endpoint in others[1:]:
                    endpoint.leaving = True

                async def submit_harmless(number):
                    answers.append(
                        await submit(fleet, content=f"flight {number}", deadline="20")
                    )

                async with anyio.create_task_group() as tasks:
                    for number in range(50):
                        tasks.start_soon(submit_harmless, number)
                    await anyio.sleep(0.1)
                    in_flight = fleet.standins["entry-desk-1"].in_flight
                    fleet.tasks.start_soon(restart_crashed, fleet, crashes)
                    tasks.start_soon(submit, fleet)
                    await anyio.sleep(0.05)
                    for endpoint in others:
                        endpoint.leaving = False
                return in_flight, len(crashes), [a.status_code for a in answers]

        in_flight, crashes, statuses = run_virtual(scenario)
        self.assertEqual(in_flight, 50)
        self.assertGreaterEqual(crashes, 1)
        self.assertLessEqual(crashes, MAX_CRASHES)
        self.assertEqual(statuses, [200] * 50)

    def test_operators_can_list_and_lift_a_refusal(self):
        async def scenario():
            crashes = []
            async with fleet_in_memory(endpoints=4) as fleet:
                make_crashing(fleet, "entry-desk", crashes)
                fleet.tasks.start_soon(restart_crashed, fleet, crashes)
                for _ in range(3):
                    await submit(fleet)
                async with fleet.network.client() as client:
                    listed = await client.get("http://entry-1:8081/quarantine")
                    row = listed.json()["suspects"][0]
                    url = f"http://entry-1:8081/quarantine/{row['fingerprint']}"
                    lifted = await client.delete(url)
                    unknown = await client.delete(url + "0")
                before = len(crashes)
                await submit(fleet)
                return row, lifted, unknown, len(crashes) - before

        row, lifted, unknown, again = run_virtual(scenario)
        self.assertGreater(row["refused_seconds"], 0)
        self.assertEqual(lifted.status_code, 200)
        self.assertEqual(unknown.status_code, 404)
        self.assertGreaterEqual(again, 1)

    def test_crash_without_a_causing_request_refuses_no_request(self):
        async def scenario():
            async with fleet_in_memory(endpoints=4) as fleet:
                for standin in fleet.standins.values():
                    standin.seconds = 0.5
                answers = []

                async def submit_harmless(number):
                    answers.append(await submit(fleet, content=f"flight {number}"))

                async with anyio.create_task_group() as tasks:
                    for number in range(12):
                        tasks.start_soon(submit_harmless, number)
                    await anyio.sleep(0.2)
                    fleet.network.kill("entry-desk-2:1")
                refused = [d.quarantine.list_records() for d in fleet.daemons.values()]
                return [a.status_code for a in answers], refused

        statuses, listed = run_virtual(scenario)
        self.assertEqual(statuses, [200] * 12)
        for rows in listed:
            self.assertTrue(all(row["refused_seconds"] == 0 for row in rows))


if __name__ == "__main__":
    unittest.main()
