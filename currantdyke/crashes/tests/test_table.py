"""Evidence and condemned groups of one daemon."""

import unittest

from currantdyke.crashes.evidence import RunInCrash
from currantdyke.crashes.table import (
    CRASH_RETENTION_SECONDS,
    MAX_EVENTS,
    REPORT_SECONDS,
    group_id,
)
from currantdyke.crashes.tests.memory import build_table, keys


class TestTable(unittest.TestCase):
    def setUp(self):
        self.time = 100.0
        self.table = build_table(lambda: self.time)

    def crash(self, name, text, *, born=1, own=True):
        run = RunInCrash(keys=keys(text), sent_at=self.time - 0.2)
        self.table.record_crash(name, born, run, at=self.time, own=own)

    def crash_four(self):
        for number in range(4):
            self.time += 1.0
            self.crash(f"e{number}", f"first bad request:{number}")
        self.settle()

    def settle(self):
        self.time += REPORT_SECONDS
        self.table.evaluate()

    def refuses(self, text):
        return bool(self.table.groups_of(keys(text)))

    def test_reports_on_one_lifetime_are_one_crash(self):
        for number in range(5):
            self.time += 1.0
            self.crash("e", f"first bad request:{number}")
        self.settle()
        self.assertEqual(len(self.table.events), 1)
        self.assertFalse(self.refuses("first bad"))

    # Guards against accusing what ran beside a bad part whose report is on its way.
    def test_crash_is_weighed_only_when_all_daemons_can_have_reported_it(self):
        for number in range(4):
            self.time += 1.0
            self.crash(f"e{number}", f"first subject request:{number}")
            if number < 3:
                self.crash(f"e{number}", f"bad request:2{number}")
        self.table.evaluate()
        self.assertEqual(self.table.groups, {})
        self.crash("e3", "bad request:23")
        self.settle()
        self.assertFalse(self.refuses("first subject request:9"))

    def test_lifetimes_of_one_instance_are_several_crashes(self):
        for born in (1, 2, 3, 4):
            self.time += 1.0
            self.crash("e", f"first bad request:{born}", born=born)
        self.settle()
        self.assertTrue(self.refuses("first bad request:9"))
        self.assertFalse(self.refuses("first request:9"))

    def test_answers_clear_only_crashes_before_their_start(self):
        self.crash("e", "first bad")
        early = self.table.record_clean(keys("first"), began_at=99.0, own=True)
        late = self.table.record_clean(keys("first x"), began_at=101.0, own=True)
        again = self.table.record_clean(keys("first x"), began_at=102.0, own=True)
        self.assertEqual((early, late, again), (keys(""), keys("first"), keys("")))

    def test_answer_narrows_a_group_and_ends_it_if_it_has_all_keys(self):
        self.crash_four()
        ended = []
        self.table.on_cleared.append(ended.append)
        self.table.record_clean(keys("first x"), began_at=self.time + 1, own=True)
        self.assertTrue(self.refuses("bad y"))
        self.table.record_clean(keys("bad z"), began_at=self.time + 2, own=True)
        self.assertFalse(self.refuses("first bad"))
        self.assertEqual([group.crashes for group in ended], [4])

    def test_end_of_a_group_is_recorded_by_the_daemon_that_saw_the_answer(self):
        self.crash_four()
        ended = []
        self.table.on_cleared.append(ended.append)
        self.table.record_clean(keys("first bad"), began_at=self.time + 1, own=False)
        self.assertFalse(self.refuses("first bad"))
        self.assertEqual(ended, [])

    def test_old_crashes_do_not_count(self):
        self.crash("a", "bad")
        self.time += CRASH_RETENTION_SECONDS + 1
        self.crash_four()
        self.assertEqual(len(self.table.events), 4)

    def test_number_of_crashes_kept_is_bounded(self):
        for number in range(MAX_EVENTS + 10):
            self.crash(f"e{number}", f"request:{number}")
        self.assertEqual(len(self.table.events), MAX_EVENTS)

    def test_removed_record_proves_nothing_before_the_condemnation_ends(self):
        self.adopt(revision=5)
        self.table.record_removed(group_id(keys("bad")))
        self.time += 59.0
        self.table.evaluate()
        self.assertTrue(self.refuses("bad"))
        self.time += 2.0
        self.table.evaluate()
        self.assertFalse(self.refuses("bad"))

    def test_record_of_the_end_lifts_the_refusal_and_drops_its_crashes(self):
        self.crash_four()
        (group,) = self.table.groups
        self.table.end(group, 7)
        self.assertFalse(self.refuses("first bad"))
        self.assertEqual(self.table.events, {})

    def test_condemnation_lasts_from_when_its_record_was_read(self):
        self.adopt(revision=5)
        self.time += 30.0
        self.adopt(revision=5)
        (group,) = self.table.groups.values()
        self.assertEqual(self.table.retry_after(group), 30.0)
        self.adopt(revision=6)
        self.assertEqual(self.table.retry_after(group), 60.0)

    def adopt(self, *, revision):
        self.table.adopt(
            keys("bad"),
            seconds=60.0,
            left=60.0,
            crashes=3,
            source="store",
            revision=revision,
        )


if __name__ == "__main__":
    unittest.main()
