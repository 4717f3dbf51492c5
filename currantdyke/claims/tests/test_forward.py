import unittest

import anyio
from expression import Error, Ok

from currantdyke.claims import Granted, Taken
from currantdyke.claims.forward import SCHEMA, decode_answer, encode_answer
from currantdyke.claims.operations import Recorded
from currantdyke.claims.tests.builders import (
    HookedStore,
    ask,
    build_record,
    calls_seen,
    claims_fleet,
    claims_in_memory,
    digest_of,
)
from currantdyke.store import Unavailable, Unsettled
from currantdyke.testing import run_virtual


def connect(asker, owner, *, answers, delay=0.0):
    """Let one daemon's claims go to the other, which may never answer."""
    asker.live_daemons = lambda: (owner.daemon,)

    async def take(is_claim, digest, record):
        if is_claim:
            return await owner.claim_here(digest, record, 100.0)
        return await owner.end_here(digest, record)

    async def forward(name, is_claim, digest, record):
        owner.tasks.start_soon(take, is_claim, digest, record)
        await anyio.sleep(delay)
        return await take(is_claim, digest, record) if answers else None

    asker.forward = forward


async def stumble(when, call):
    """Keep an owner from settling its first claim in time, then let it go on."""
    await anyio.sleep(max(0.0, 5.0 - anyio.current_time()))


class TestForward(unittest.TestCase):
    def test_claim_whose_owner_gave_no_answer_is_granted_and_stays(self):
        async def scenario():
            async with claims_in_memory(daemons=3) as (_, (first, owner, third)):
                owner.store = HookedStore(store=owner.store, hook=stumble)
                connect(first, owner, answers=False)
                record = build_record("entry-1.a.1")
                answer = await first.claim(digest_of("fee"), record, 100.0)
                await anyio.sleep(30.0)
                other = build_record("entry-3.c.1")
                return answer, await third.claim(digest_of("fee"), other, 100.0)

        answer, other = run_virtual(scenario)
        self.assertIsInstance(answer.ok, Granted)
        self.assertIsInstance(other.ok, Taken)

    def test_claim_given_up_on_its_way_is_released(self):
        async def scenario():
            async with claims_in_memory(daemons=3) as (_, (first, owner, third)):
                connect(first, owner, answers=True, delay=0.5)
                record = build_record("entry-1.a.1")
                with anyio.move_on_after(0.3):
                    await first.claim(digest_of("fee"), record, 100.0)
                await anyio.sleep(30.0)
                other = build_record("entry-3.c.1")
                return await third.claim(digest_of("fee"), other, 100.0)

        self.assertIsInstance(run_virtual(scenario).ok, Granted)

    def test_owner_that_does_not_answer_is_left_out_for_a_while(self):
        async def scenario():
            async with claims_in_memory(daemons=2) as (_, (first, owner)):
                connect(first, owner, answers=False, delay=60.0)
                times = []
                for number in range(3):
                    started = anyio.current_time()
                    record = build_record(f"entry-1.a.{number}")
                    await first.claim(digest_of(f"fee-{number}"), record, 100.0)
                    times.append(anyio.current_time() - started)
                return times

        first, second, third = run_virtual(scenario)
        self.assertAlmostEqual(first, 1.0, places=2)
        self.assertLess(max(second, third), 0.2)

    def test_answers_survive_the_wire(self):
        answers = (
            Ok(Granted()),
            Ok(Recorded()),
            Ok(Taken(record=build_record(result=b"1"))),
            Error(Unavailable(detail="down")),
            Error(Unsettled(detail="slow")),
        )
        for answer in answers:
            self.assertEqual(decode_answer(encode_answer(answer)), answer)
        with self.assertRaises(KeyError):
            decode_answer(SCHEMA.Answer.new_message().to_bytes_packed())

    def test_daemons_send_claims_to_the_owner_of_the_slice(self):
        async def scenario():
            async with claims_fleet(peers=True) as fleet:
                await anyio.sleep(3.0)
                for number in range(30):
                    await ask(fleet, f"entry-{number % 3 + 1}", f"fee-{number}")
                writers = [set(d.claims.writers) for d in fleet.daemons.values()]
                return writers, len(calls_seen(fleet))

        writers, calls = run_virtual(scenario)
        self.assertEqual(calls, 30)
        self.assertEqual(sum(map(len, writers)), len(set.union(*writers)))
        self.assertTrue(all(writers))


if __name__ == "__main__":
    unittest.main()
