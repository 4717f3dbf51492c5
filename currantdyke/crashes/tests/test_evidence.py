"""Groups of crashes with common keys."""

import unittest

from currantdyke.crashes.evidence import find_groups
from currantdyke.crashes.tests.memory import build_event, keys


def found(events):
    return [group.keys for group in find_groups(events)]


def found_beside(events, *, refused):
    return [group.keys for group in find_groups(events, refused=[keys(refused)])]


class TestGroups(unittest.TestCase):
    def test_keys_that_crashes_have_in_common_are_refused_together(self):
        events = [
            build_event("a", 1.0, "first bad request:1", "first other request:2"),
            build_event("b", 2.0, "first bad request:3"),
            build_event("c", 3.0, "first bad request:4", "first request:5"),
            build_event("d", 4.0, "first bad request:6"),
        ]
        self.assertEqual(found(events[:3]), [])
        self.assertEqual(found(events), [keys("first bad")])

    def test_cleared_keys_are_no_candidates(self):
        events = [
            build_event(str(n), n, f"first bad request:{n}") for n in (1, 2, 3, 4)
        ]
        for event in events:
            event.cleared.add("first")
        self.assertEqual(found(events), [keys("bad")])

    def test_copies_of_one_request_are_refused_by_its_hash(self):
        events = [build_event(str(n), n, "request:0") for n in (1, 2, 3)]
        self.assertEqual(found(events), [keys("request:0")])

    def test_crashes_at_once_show_nothing(self):
        events = [
            build_event(str(n), 10.0 + n / 10, f"first request:{n}", sent_at=9.0)
            for n in range(5)
        ]
        self.assertEqual(found(events), [])

    def test_shared_key_is_not_refused_at_once_if_another_explains_some_crashes(self):
        events = [
            build_event("a", 1.0, "first bad request:1"),
            build_event("b", 1.2, "first worse request:2"),
            build_event("c", 1.4, "first bad request:3"),
        ]
        self.assertEqual(found(events), [])

    def test_two_bad_parts_are_found_beside_each_other(self):
        events = [
            build_event(str(n), n, f"first {part} request:{n}")
            for n, part in enumerate(["bad", "worse"] * 4, start=1)
        ]
        self.assertEqual(found(events), [])
        for event in events[:6]:
            event.cleared.add("first")
        self.assertEqual(set(found(events)), {keys("bad"), keys("worse")})

    def test_refused_key_explains_crashes_of_what_ran_beside_it(self):
        events = [
            build_event(str(n), n, f"first bad request:{n}", "first sound")
            for n in (1, 2, 3)
        ]
        events.append(build_event("4", 4.0, "first bad request:4"))
        self.assertEqual(found(events), [keys("first bad")])

    def test_repeats_of_one_request_do_not_accuse_what_others_share(self):
        events = [build_event(str(n), n, "first bad request:1") for n in (1, 2, 3)]
        events.append(build_event("4", 4.0, "first sound request:2"))
        self.assertEqual(found(events), [keys("request:1")])

    def test_part_is_found_among_repeats_of_several_requests(self):
        events = [
            build_event(str(n), n, f"first bad request:{n // 3}") for n in range(3, 8)
        ]
        self.assertEqual(found(events[:3]), [keys("request:1")])
        self.assertEqual(found(events[:4]), [keys("request:1")])
        self.assertEqual(found_beside(events, refused="request:1"), [keys("first bad")])

    def test_second_bad_part_does_not_accuse_the_part_that_both_share(self):
        events = [
            build_event(str(n), n, f"first bad request:{n}") for n in (1, 2, 3, 4)
        ]
        events += [
            build_event(str(n), n, f"first worse request:{n // 2}") for n in (6, 7)
        ]
        self.assertEqual(found_beside(events, refused="first bad"), [])
        events.append(build_event("8", 8.0, "first worse request:4"))
        self.assertEqual(found_beside(events, refused="first bad"), [])
        events.append(build_event("9", 9.0, "first worse request:4"))
        self.assertEqual(
            found_beside(events, refused="first bad"), [keys("first worse")]
        )

    def test_bad_part_is_found_though_its_requests_share_other_parts_in_turn(self):
        events = [
            build_event(str(n), n, f"first bad subject{n % 3} request:{n}")
            for n in range(1, 7)
        ]
        self.assertEqual(found(events), [])
        events.append(build_event("7", 7.0, "first bad request:7"))
        self.assertEqual(found(events), [keys("first bad")])

    def test_of_two_possible_causes_none_is_refused(self):
        events = [build_event(str(n), n, "first bad", "first sound") for n in (1, 2, 3)]
        self.assertEqual(found(events), [])


if __name__ == "__main__":
    unittest.main()
