import unittest

import anyio
import msgspec

from currantdyke.claims import Granted, Record, State, Taken
from currantdyke.claims.log import KEEP_SECONDS
from currantdyke.claims.records import SLICES, slice_owner
from currantdyke.claims.tests.builders import (
    build_record,
    claims_in_memory,
    digest_of,
)
from currantdyke.store import Unavailable
from currantdyke.testing import run_virtual


async def claim(claims, key, request_id, **changes):
    record = build_record(request_id, now=claims.wall_clock(), **changes)
    deadline = anyio.current_time() + 6.0
    return await claims.claim(digest_of(key), record, deadline)


class TestSlices(unittest.TestCase):
    def test_many_claims_at_once_are_few_writes(self):
        async def scenario():
            async with claims_in_memory() as (standin, (claims,)):
                granted = []

                async def one(number):
                    answer = await claim(claims, f"fee-{number}", f"entry-1.a.{number}")
                    granted.append(isinstance(answer.ok, Granted))

                async with anyio.create_task_group() as tasks:
                    for number in range(500):
                        tasks.start_soon(one, number)
                return granted, standin.writes

        granted, writes = run_virtual(scenario)
        self.assertEqual(granted, [True] * 500)
        self.assertLessEqual(writes, 2 * SLICES)

    def test_of_many_daemons_that_claim_one_key_one_is_granted(self):
        async def scenario():
            async with claims_in_memory(daemons=6) as (_, fleet):
                answers = []

                async def one(claims, number):
                    answers.append(await claim(claims, "fee", f"{claims.daemon}.a.1"))

                async with anyio.create_task_group() as tasks:
                    for number, claims in enumerate(fleet):
                        tasks.start_soon(one, claims, number)
                return answers

        answers = run_virtual(scenario)
        granted = [a for a in answers if isinstance(a.ok, Granted)]
        self.assertEqual(len(granted), 1)
        self.assertEqual(len(answers), 6)

    def test_claims_survive_sealing_and_a_new_owner(self):
        async def scenario():
            async with claims_in_memory(daemons=2) as (standin, (first, second)):
                for number in range(40):
                    record = await claimed_and_done(first, f"fee-{number}", number)
                sealed = [key for key in standin.entries if "/sealed/" in key]
                largest = max(len(entry.value) for entry in standin.entries.values())
                answers = [
                    await claim(second, f"fee-{number}", "entry-2.b.1")
                    for number in range(40)
                ]
                return record, len(sealed), largest, answers

        record, sealed, largest, answers = run_virtual(scenario)
        self.assertGreater(sealed, 3)
        self.assertLess(largest, 1_000_000)
        for answer in answers:
            self.assertEqual(answer.ok.record.result, record.result)

    def test_key_is_kept_a_day_and_free_afterwards(self):
        async def scenario():
            async with claims_in_memory(daemons=2) as (_, (first, second)):
                await claim(first, "fee", "entry-1.a.1")
                await anyio.sleep(KEEP_SECONDS - 10.0)
                early = await claim(second, "fee", "entry-2.b.1")
                await anyio.sleep(3_600.0)
                return early, await claim(second, "fee", "entry-2.b.2")

        early, late = run_virtual(scenario)
        self.assertIsInstance(early.ok, Taken)
        self.assertIsInstance(late.ok, Granted)

    def test_expired_segments_are_deleted(self):
        async def scenario():
            async with claims_in_memory(keep_seconds=60.0) as (standin, (claims,)):
                for number in range(40):
                    await claimed_and_done(claims, f"fee-{number}", number)
                before = sum("/sealed/" in key for key in standin.entries)
                await anyio.sleep(3_600.0)
                for _ in range(before):
                    await claims.trim()
                after = sum("/sealed/" in key for key in standin.entries)
                return before, after

        before, after = run_virtual(scenario)
        self.assertGreater(before, 3)
        self.assertEqual(after, 0)

    def test_missing_segment_refuses_keys_that_it_may_hold(self):
        async def scenario():
            async with claims_in_memory(daemons=2) as (standin, (first, second)):
                for number in range(40):
                    await claimed_and_done(first, f"fee-{number}", number)
                for key in [key for key in standin.entries if "/sealed/" in key]:
                    del standin.entries[key]
                return [
                    await claim(second, f"fee-{number}", "entry-2.b.1")
                    for number in range(40)
                ]

        answers = run_virtual(scenario)
        self.assertFalse([a for a in answers if a.is_ok() and a.ok == Granted()])
        self.assertTrue([a for a in answers if a.is_error()])

    def test_late_claim_of_a_request_that_gave_up_is_not_granted(self):
        async def scenario():
            async with claims_in_memory(daemons=2) as (_, (first, second)):
                record = build_record("entry-1.a.1")
                released = msgspec.structs.replace(record, state=State.RELEASED)
                await first.end(digest_of("fee"), released)
                late = await second.claim(digest_of("fee"), record, 6.0)
                return late, await claim(second, "fee", "entry-2.b.1")

        late, other = run_virtual(scenario)
        self.assertIsInstance(late.ok, Taken)
        self.assertIsInstance(other.ok, Granted)

    def test_head_that_cannot_be_read_refuses_and_harms_no_other_work(self):
        async def scenario():
            async with claims_in_memory() as (standin, (claims,)):
                for number in range(SLICES):
                    standin.put(f"currantdyke/claims/{number}/head", b"\xc1")
                broken = await claim(claims, "fee", "entry-1.a.1")
                standin.entries.clear()
                return broken, await claim(claims, "fee", "entry-1.a.2")

        broken, healed = run_virtual(scenario)
        self.assertTrue(broken.is_error())
        self.assertIsInstance(healed.ok, Granted)

    def test_store_over_its_rate_is_unavailable_not_a_claim(self):
        async def scenario():
            async with claims_in_memory() as (standin, (claims,)):
                standin.faults.writes_per_second = 0
                return await claim(claims, "fee", "entry-1.a.1"), standin.writes

        answer, writes = run_virtual(scenario)
        self.assertIsInstance(answer.error, Unavailable)
        self.assertEqual(writes, 0)

    def test_a_slice_keeps_its_owner_when_another_daemon_leaves(self):
        daemons = tuple(f"entry-{number}" for number in range(12))
        owners = {number: slice_owner(number, daemons) for number in range(SLICES)}
        left = daemons[1:]
        moved = [n for n in owners if slice_owner(n, left) != owners[n]]
        self.assertEqual(moved, [n for n in owners if owners[n] == daemons[0]])


async def claimed_and_done(claims, key, number) -> Record:
    await claim(claims, key, f"entry-1.a.{number}")
    record = build_record(
        f"entry-1.a.{number}",
        now=claims.wall_clock(),
        state=State.DONE,
        result=b'"' + b"x" * 9_000 + b'"',
    )
    await claims.end(digest_of(key), record)
    return record


if __name__ == "__main__":
    unittest.main()
