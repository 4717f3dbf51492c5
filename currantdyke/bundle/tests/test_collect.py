import unittest

import anyio

from currantdyke.bundle.collect import KEEP_SECONDS, LOOK_AGAIN_SECONDS, Collector
from currantdyke.bundle.lifecycle import current_version, propose_roll_back, sign_off
from currantdyke.bundle.roll import roll
from currantdyke.bundle.stored import PART_PREFIX
from currantdyke.bundle.tests.builders import (
    accept,
    build_signed_bundle,
    build_signer,
    platform,
    with_share,
)
from currantdyke.testing import run_virtual

FIRST = build_signed_bundle()


def parts(found):
    return {k for k in found.key_value.entries if k.startswith(PART_PREFIX)}


async def collector(found, is_collector=True):
    follower = found.follower()
    made = Collector(
        store=found.store(), feed=follower.feed, is_collector=lambda: is_collector
    )
    await follower.look()
    return follower, made


async def pass_time(made, seconds):
    """Collect now and then for so long."""
    for _ in range(20):
        await anyio.sleep(seconds / 20)
        await made.collect()


class TestCollector(unittest.TestCase):
    def test_replaced_parts_are_deleted_after_the_time_and_not_before(self):
        async def scenario():
            async with platform() as found:
                await accept(found.store(), FIRST)
                follower, made = await collector(found)
                before = len(parts(found))
                for share in (2.0, 3.0, 4.0):
                    await accept(found.store(), with_share(FIRST, share))
                    await follower.look()
                full = len(parts(found))
                await pass_time(made, KEEP_SECONDS * 0.9)
                kept = len(parts(found))
                await pass_time(made, KEEP_SECONDS)
                whole = await current_version(found.store())
                return before, full, kept, len(parts(found)), whole

        before, full, kept, left, whole = run_virtual(scenario)
        self.assertEqual((full, kept, left), (before + 6, before + 6, before))
        self.assertEqual(whole.ok.number, 4)

    def test_daemon_that_does_not_collect_deletes_nothing(self):
        async def scenario():
            async with platform() as found:
                await accept(found.store(), FIRST)
                follower, made = await collector(found, is_collector=False)
                await accept(found.store(), with_share(FIRST, 2.0))
                await follower.look()
                full = len(parts(found))
                await pass_time(made, KEEP_SECONDS * 2)
                return full - len(parts(found)), len(made.retired)

        self.assertEqual(run_virtual(scenario), (0, 0))

    def test_part_that_a_roll_back_writes_again_is_not_deleted(self):
        async def scenario():
            async with platform() as found:
                store = found.store()
                await accept(store, FIRST)
                follower, made = await collector(found)
                await accept(store, with_share(FIRST, 2.0))
                await follower.look()
                await pass_time(made, KEEP_SECONDS * 0.9)
                proposed = await propose_roll_back(store, 1, build_signer("adaeze"))
                change_id = proposed.ok.change.change_id
                await sign_off(store, change_id, build_signer("bola"))
                await roll(store, change_id, build_signer("adaeze"))
                await pass_time(made, LOOK_AGAIN_SECONDS)
                return await current_version(store)

        self.assertEqual(run_virtual(scenario).ok.bundle, FIRST)

    def test_daemon_that_lags_behind_the_deletion_still_catches_up(self):
        async def scenario():
            async with platform() as found:
                await accept(found.store(), FIRST)
                follower, made = await collector(found)
                lagging = found.follower("entry-9")
                await lagging.look()
                for share in range(2, 30):
                    await accept(found.store(), with_share(FIRST, float(share)))
                    await follower.look()
                await pass_time(made, KEEP_SECONDS * 3)
                await lagging.look()
                fresh = found.follower("entry-10")
                await fresh.look()
                return made.deleted, lagging.feed.version, fresh.feed.version

        deleted, lagging, fresh = run_virtual(scenario)
        self.assertGreater(deleted, 40)
        self.assertEqual((lagging, fresh), (29, 29))


if __name__ == "__main__":
    unittest.main()
