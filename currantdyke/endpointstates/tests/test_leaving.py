import unittest
from unittest import mock

import anyio
import attrs

from currantdyke.catalog import Endpoint
from currantdyke.directory import EndpointTable
from currantdyke.endpointstates.leaving import LeavingEndpoints
from currantdyke.endpointstates.messages import EndpointLeaving
from currantdyke.links import Frame, Peers
from currantdyke.links.codec import LEAVING_PROTOCOL, decode_frame, encode_frame
from currantdyke.links.tests.builders import build_entry, build_peers
from currantdyke.testing.stage_fleet import silent_log
from currantdyke.testing.virtual import run_virtual

ENDPOINT = Endpoint(
    instance="i", service="s", address="a:1", availability_zone="z", born=5
)
REPORT = EndpointLeaving(instance="i", born=5)


class FakeOwners:
    """Names one owner of all services; empty for this daemon."""

    def __init__(self, ip):
        self.ip = ip

    def find(self, service):
        return self


def build_leaving(owner):
    """Return a daemon's marks, what it sends, and what it broadcasts."""
    table = EndpointTable(now=lambda: 0.0)
    table.announce(ENDPOINT)
    sent, broadcast = [], []
    leaving = LeavingEndpoints(
        endpoints=table,
        log=silent_log(),
        send=lambda ip, report: sent.append((ip, report)),
        broadcast=broadcast.append,
        owners=FakeOwners(owner),
    )
    return leaving, table, sent, broadcast


class TestMarks(unittest.TestCase):
    def setUp(self):
        self.table = EndpointTable(now=lambda: 0.0)
        self.table.announce(ENDPOINT)

    def test_marked_endpoint_gets_no_new_work(self):
        self.assertTrue(self.table.mark_leaving("i", 5))
        self.assertEqual(self.table.of_service("s"), {})
        self.assertIsNone(self.table.usable("i"))

    # The store may show a state from before, or not be reached.
    def test_entry_of_the_same_lifetime_does_not_end_the_mark(self):
        self.table.mark_leaving("i", 5)
        self.table.announce(attrs.evolve(ENDPOINT, slots=3))
        self.assertIsNone(self.table.usable("i"))

    def test_entry_of_a_later_lifetime_ends_the_mark(self):
        self.table.mark_leaving("i", 5)
        self.table.announce(attrs.evolve(ENDPOINT, born=6))
        self.assertIsNotNone(self.table.usable("i"))

    def test_mark_of_an_earlier_lifetime_has_no_effect(self):
        self.assertFalse(self.table.mark_leaving("i", 4))
        self.assertIsNotNone(self.table.usable("i"))

    # A report may overtake the entry.
    def test_mark_that_comes_before_the_entry_holds(self):
        self.table.mark_leaving("j", 2)
        self.table.announce(attrs.evolve(ENDPOINT, instance="j", born=2))
        self.assertIsNone(self.table.usable("j"))

    def test_endpoint_whose_entry_says_so_is_not_new(self):
        self.table.announce(attrs.evolve(ENDPOINT, leaving=True))
        self.assertFalse(self.table.mark_leaving("i", 5))


class TestReports(unittest.TestCase):
    def test_daemon_tells_the_owner_once(self):
        leaving, _, sent, broadcast = build_leaving("10.0.0.9")
        for _ in range(3):
            leaving.record(ENDPOINT)
        self.assertEqual((sent, broadcast), ([("10.0.0.9", REPORT)], []))

    def test_owner_tells_all_once(self):
        leaving, table, sent, broadcast = build_leaving("")
        for _ in range(3):
            leaving.handle(REPORT)
        self.assertEqual((sent, broadcast), ([], [REPORT]))
        self.assertIsNone(table.usable("i"))

    def test_others_pass_nothing_on(self):
        leaving, table, sent, broadcast = build_leaving("10.0.0.9")
        leaving.handle(REPORT)
        self.assertEqual((sent, broadcast), ([], []))
        self.assertIsNone(table.usable("i"))

    # Guards against an earlier build that closes its link on a message it doesn't know.
    def test_daemons_of_earlier_builds_get_no_report(self):
        entries = [
            attrs.evolve(build_entry(2), protocol=LEAVING_PROTOCOL - 1),
            attrs.evolve(build_entry(3), protocol=LEAVING_PROTOCOL),
        ]

        async def send():
            peers = build_peers(1, known=entries)
            with mock.patch.object(Peers, "_connect_and_notify") as connect:
                async with anyio.create_task_group() as peers.tasks:
                    for entry in entries:
                        peers.send(entry.ip, REPORT, protocol=LEAVING_PROTOCOL)
            return [call.args[0] for call in connect.call_args_list]

        self.assertEqual(run_virtual(send), [entries[1].ip])

    def test_report_is_read_as_it_was_sent(self):
        data = encode_frame(Frame(number=0, content=REPORT))
        self.assertEqual(decode_frame(data).ok.content, REPORT)


if __name__ == "__main__":
    unittest.main()
