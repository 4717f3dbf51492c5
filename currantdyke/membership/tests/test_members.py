import unittest

from currantdyke.membership.members import FORGET_SECONDS, MemberTable
from currantdyke.peers import MemberStatus
from currantdyke.peers.tests.builders import build_member

ALIVE, SUSPECT = MemberStatus.ALIVE, MemberStatus.SUSPECT
DEAD, LEFT = MemberStatus.DEAD, MemberStatus.LEFT


def table():
    made = MemberTable(
        me=build_member(name="entry-1", counter=10),
        now=lambda: made.time,
        changed=lambda before, member: None,
        doubted=lambda word: made.doubts.append(word),
    )
    made.time = 0.0
    made.doubts = []
    return made


def word(status, counter, **changes):
    return build_member(name="entry-2", status=status, counter=counter, **changes)


class TestWords(unittest.TestCase):
    def test_stronger_word_of_one_counter_wins_in_any_order(self):
        for words in ((ALIVE, SUSPECT, DEAD, LEFT), (LEFT, DEAD, SUSPECT, ALIVE)):
            known = table()
            known.apply(word(ALIVE, 1))
            for status in words:
                known.apply(word(status, 1))
            self.assertIs(known.by_name["entry-2"].status, LEFT)

    def test_new_life_counts_over_the_death_of_the_old(self):
        known = table()
        known.apply(word(ALIVE, 1))
        known.apply(word(DEAD, 1))
        self.assertTrue(known.apply(word(ALIVE, 2, incarnation="new")))
        self.assertEqual(known.by_name["entry-2"].incarnation, "new")

    def test_suspicion_and_death_of_oneself_are_refuted_above_them(self):
        known = table()
        for status in (SUSPECT, DEAD, LEFT):
            counter = known.me.counter
            known.apply(build_member(name="entry-1", status=status, counter=counter))
            self.assertEqual(known.me.counter, counter + 1)
            self.assertIs(known.me.status, ALIVE)

    def test_clock_set_back_between_two_lives_is_overcome(self):
        known = table()
        known.apply(build_member(name="entry-1", counter=99, incarnation="old"))
        self.assertEqual(known.me.counter, 100)

    def test_echo_of_oneself_changes_nothing(self):
        known = table()
        known.leave()
        self.assertFalse(known.apply(build_member(name="entry-1", counter=10)))
        self.assertIs(known.me.status, LEFT)

    def test_late_word_does_not_bring_back_the_forgotten_dead(self):
        known = table()
        known.apply(word(ALIVE, 5))
        known.apply(word(DEAD, 5))
        known.time = FORGET_SECONDS + 1.0
        known.forget_old()
        self.assertNotIn("entry-2", known.by_name)
        self.assertFalse(known.apply(word(ALIVE, 5)))
        self.assertNotIn("entry-2", known.by_name)
        self.assertEqual([doubt.status for doubt in known.doubts], [SUSPECT])
        self.assertTrue(known.apply(word(ALIVE, 6)))

    def test_death_told_by_a_whole_table_is_only_a_suspicion(self):
        known = table()
        known.apply(word(ALIVE, 5))
        known.apply_second_hand(word(DEAD, 5))
        self.assertIs(known.by_name["entry-2"].status, SUSPECT)


if __name__ == "__main__":
    unittest.main()
