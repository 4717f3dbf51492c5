import unittest

import anyio
import attrs
from expression import Error

from currantdyke.bundle import Workspace
from currantdyke.bundle.change import decode, encode
from currantdyke.bundle.lifecycle import (
    current_version,
    history,
    propose,
    propose_roll_back,
    sign_off,
)
from currantdyke.bundle.roll import roll
from currantdyke.bundle.stored import HEAD_KEY, PROPOSAL_PREFIX
from currantdyke.bundle.tests.builders import (
    accept,
    build_keys,
    build_signed_bundle,
    build_signer,
    platform,
    signed_off_change,
    with_share,
)
from currantdyke.bundle.trouble import LostRace, Refused
from currantdyke.store import Unknown
from currantdyke.testing import run_virtual

KEYS = build_keys()
ADAEZE, BOLA, CIARA = (build_signer(name) for name in ("adaeze", "bola", "ciara"))
FIRST = build_signed_bundle()


def with_first_version(scenario):
    async def run():
        async with platform() as found:
            store = found.store()
            await accept(store, FIRST)
            return await scenario(found, store)

    return run_virtual(run)


class TestSigning(unittest.TestCase):
    def test_first_version_needs_the_bootstrap_operators(self):
        async def scenario():
            async with platform() as found:
                refused = await propose(found.store(), FIRST, ADAEZE)
                head = await accept(found.store(), FIRST)
                return refused, head

        refused, head = run_virtual(scenario)
        self.assertIn("bootstrap", refused.error.message)
        self.assertEqual((head.version, head.signed_off_by), (1, "bola"))

    def test_proposer_cannot_sign_off_their_own_change(self):
        async def scenario(found, store):
            made = await propose(store, with_share(FIRST, 2.0), ADAEZE)
            return await sign_off(store, made.ok.change.change_id, ADAEZE)

        refused = with_first_version(scenario)
        self.assertIn("another operator", refused.error.message)

    def test_key_that_is_not_in_the_bundle_signs_nothing(self):
        async def scenario(found, store):
            stranger = build_signer("bola", seed=99)
            made = await propose(store, with_share(FIRST, 2.0), ADAEZE)
            change_id = made.ok.change.change_id
            return (
                await propose(store, with_share(FIRST, 3.0), stranger),
                await sign_off(store, change_id, stranger),
                await roll(store, change_id, stranger),
            )

        for refused in with_first_version(scenario):
            self.assertIsInstance(refused.error, Refused)

    def test_change_exchanged_after_it_was_shown_is_not_signed_off(self):
        async def scenario(found, store):
            made = await propose(store, with_share(FIRST, 2.0), ADAEZE)
            change = made.ok.change
            shown = attrs.evolve(change, comment="another")
            return await sign_off(store, change.change_id, BOLA, shown=shown)

        refused = with_first_version(scenario)
        self.assertIn("not the one that was shown", refused.error.message)

    def test_change_that_is_not_signed_off_is_not_rolled(self):
        async def scenario(found, store):
            made = await propose(store, with_share(FIRST, 2.0), ADAEZE)
            return await roll(store, made.ok.change.change_id, ADAEZE)

        self.assertIn("sign-off", with_first_version(scenario).error.message)

    def test_change_altered_after_sign_off_is_not_rolled(self):
        async def scenario(found, store):
            change_id = await signed_off_change(store, with_share(FIRST, 2.0))
            key = PROPOSAL_PREFIX + change_id
            proposal = decode(
                found.key_value.entries[key].value, type(await _proposal(store))
            )
            edit = attrs.evolve(proposal.change.edits[0], text='{"share":9.0}')
            change = attrs.evolve(proposal.change, edits=(edit,))
            found.key_value.put(key, encode(attrs.evolve(proposal, change=change)))
            rolled = await roll(store, change_id, ADAEZE)
            return rolled, await current_version(store)

        rolled, current = with_first_version(scenario)
        self.assertIn("does not hold", rolled.error.message)
        self.assertEqual(current.ok.number, 1)


async def _proposal(store):
    return (await propose(store, with_share(FIRST, 8.0), ADAEZE)).ok


class TestRaces(unittest.TestCase):
    def test_loser_on_the_same_item_is_told_who_won_and_what_to_do(self):
        async def scenario(found, store):
            lost = await signed_off_change(store, with_share(FIRST, 2.0), "ciara")
            await accept(store, with_share(FIRST, 3.0))
            return (
                await roll(store, lost, CIARA),
                await roll(store, lost, CIARA, rebase=True),
            )

        for result in with_first_version(scenario):
            self.assertIsInstance(result.error, LostRace)
            self.assertIn("adaeze's change", result.error.message)
            self.assertIn("version 2", result.error.message)
            self.assertIn("propose your change anew", result.error.message)

    def test_loser_on_other_items_goes_on_by_rebase_without_new_sign_off(self):
        async def scenario(found, store):
            later = await signed_off_change(
                store, with_share(FIRST, 2.0, "workspace-00001"), "ciara"
            )
            await accept(store, with_share(FIRST, 3.0))
            first_try = await roll(store, later, CIARA)
            rolled = await roll(store, later, CIARA, rebase=True)
            return first_try, rolled, await current_version(store)

        first_try, rolled, current = with_first_version(scenario)
        self.assertIn("--rebase", first_try.error.message)
        self.assertEqual(rolled.ok.version, 3)
        shares = {n: w.share for n, w in current.ok.bundle.workspaces.items()}
        self.assertEqual(shares["workspace-00000"], 3.0)
        self.assertEqual(shares["workspace-00001"], 2.0)

    def test_of_many_at_once_exactly_one_wins(self):
        async def scenario(found, store):
            ids = [
                await signed_off_change(store, with_share(FIRST, 2.0 + i))
                for i in range(5)
            ]
            results = []

            async def one(change_id):
                results.append(await roll(found.store(), change_id, BOLA))

            async with anyio.create_task_group() as tasks:
                for change_id in ids:
                    tasks.start_soon(one, change_id)
            return results, await current_version(store)

        results, current = with_first_version(scenario)
        winners = [result.ok for result in results if result.is_ok()]
        self.assertEqual(len(winners), 1)
        self.assertEqual(current.ok.number, 2)
        for result in results:
            if result.is_error():
                self.assertEqual(result.error.winner, winners[0])


@attrs.define(kw_only=True)
class OvertakenStore:
    """Loses the answer of the first swap of the head, and lets another go on."""

    store: object
    overtake: object
    is_done: bool = False

    def __getattr__(self, name):
        return getattr(self.store, name)

    async def compare_and_swap(self, key, expected, value, *, duty, lease=0):
        answer = await self.store.compare_and_swap(
            key, expected, value, duty=duty, lease=lease
        )
        if key != HEAD_KEY or self.is_done:
            return answer
        self.is_done = True
        await self.overtake()
        return Error(Unknown(detail="answer lost"))


class TestUnknownWrites(unittest.TestCase):
    def test_lost_answers_and_lost_writes_never_apply_a_change_twice(self):
        async def scenario(found, store, fault, count):
            change_id = await signed_off_change(store, with_share(FIRST, 2.0))
            setattr(found.key_value.faults, fault, count)
            found.key_value.faults.late_by = 0.3
            first = await roll(store, change_id, ADAEZE)
            second = await roll(store, change_id, BOLA)
            return first, second, await history(store, 10)

        for fault in ("lose_answers", "lose_writes", "late_writes"):
            for count in range(1, 6):
                with self.subTest(fault=fault, count=count):
                    first, second, records = with_first_version(
                        lambda f, s, fault=fault, count=count: scenario(
                            f, s, fault, count
                        )
                    )
                    self.assertEqual(second.ok.version, 2)
                    if first.is_ok():
                        self.assertEqual(first.ok, second.ok)
                    self.assertEqual([r.version for r in records.ok], [2, 1])

    def test_lost_answer_followed_by_another_version_is_still_found(self):
        async def scenario(found, store):
            change_id = await signed_off_change(store, with_share(FIRST, 2.0))
            rolled = await roll(store, change_id, ADAEZE)
            await accept(store, with_share(FIRST, 5.0))
            return rolled, await roll(store, change_id, ADAEZE)

        rolled, again = with_first_version(scenario)
        self.assertEqual(rolled.ok, again.ok)

    def test_lost_answer_of_the_head_is_settled_though_another_was_faster_since(self):
        async def scenario(found, store):
            async def overtake():
                await accept(found.store(), with_share(FIRST, 5.0), "bola", "ciara")

            change_id = await signed_off_change(store, with_share(FIRST, 2.0))
            overtaken = OvertakenStore(store=store, overtake=overtake)
            return await roll(overtaken, change_id, ADAEZE), await history(store, 9)

        rolled, records = with_first_version(scenario)
        self.assertEqual(rolled.ok.version, 2)
        self.assertEqual([r.version for r in records.ok], [3, 2, 1])

    def test_store_down_refuses_every_step_and_changes_nothing(self):
        async def scenario(found, store):
            change_id = await signed_off_change(store, with_share(FIRST, 2.0))
            found.key_value.faults.down = True
            steps = [
                await propose(store, with_share(FIRST, 4.0), ADAEZE),
                await sign_off(store, change_id, CIARA),
                await roll(store, change_id, ADAEZE),
            ]
            found.key_value.faults.down = False
            return steps, await current_version(store)

        steps, current = with_first_version(scenario)
        for step in steps:
            self.assertIn("run the command again", step.error.message)
        self.assertEqual(current.ok.number, 1)


class TestRollBack(unittest.TestCase):
    def test_roll_back_is_a_higher_version_with_the_old_content(self):
        async def scenario(found, store):
            await accept(store, with_share(FIRST, 2.0))
            made = await propose_roll_back(store, 1, CIARA)
            change_id = made.ok.change.change_id
            await sign_off(store, change_id, ADAEZE)
            head = await roll(store, change_id, CIARA)
            return head.ok, await history(store, 10), await current_version(store)

        head, records, current = with_first_version(scenario)
        self.assertEqual(head.version, 3)
        self.assertEqual(records.ok[0].change.restores, 1)
        self.assertEqual(records.ok[0].root, records.ok[2].root)
        self.assertEqual(current.ok.bundle, FIRST)

    def test_change_whose_edits_are_many_is_kept_in_parts(self):
        async def scenario(found, store):
            names = {f"fresh-{i:04}": Workspace() for i in range(2_500)}
            bundle = attrs.evolve(FIRST, workspaces=names)
            head = await accept(store, bundle)
            largest = max(len(e.value) for e in found.key_value.entries.values())
            return head, largest, await current_version(store)

        head, largest, current = with_first_version(scenario)
        self.assertEqual(head.version, 2)
        self.assertLess(largest, 1_000_000)
        self.assertEqual(len(current.ok.bundle.workspaces), 2_500)


if __name__ == "__main__":
    unittest.main()
