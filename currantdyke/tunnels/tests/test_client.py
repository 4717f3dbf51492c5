import unittest

import anyio

from currantdyke.catalog import Endpoint
from currantdyke.platform.records import DaemonEntry
from currantdyke.testing.virtual import run_virtual
from currantdyke.tunnels.client import ASK_TIMEOUT_SECONDS, TunnelClient, TunnelError
from currantdyke.tunnels.messages import TunnelResult

ENDPOINT = Endpoint(
    instance="e", service="s", address="a:1", availability_zone="z", born=1
)
# Until another connection to the endpoint is given up.
CONNECT_SECONDS = 0.4
LATE_SECONDS = 0.25


class FakeTunnel:
    def __init__(self, ip):
        self.ip = ip
        self.closed = False

    async def aclose(self):
        self.closed = True


class Fleet:
    """Daemons that each answer after a time, with a result, by their IPs."""

    def __init__(self, answers):
        self.answers = answers
        self.tunnels = []
        self.asked = []
        self.client = TunnelClient(
            availability_zone="z",
            daemons=lambda: [
                DaemonEntry(
                    name=ip, ip=ip, availability_zone="z", incarnation="1", cores=1.0
                )
                for ip in answers
            ],
            open_tunnel=self.open_tunnel,
        )
        self.client.random_source.seed(1)

    async def open_tunnel(self, daemon, request):
        self.asked.append(daemon.ip)
        seconds, result = self.answers[daemon.ip]
        await anyio.sleep(seconds)
        tunnel = FakeTunnel(daemon.ip)
        self.tunnels.append(tunnel)
        return result, tunnel


def open_tunnel(answers, *, count=1, seconds=CONNECT_SECONDS):
    """Return the fleet and the IP of the daemon that opened each tunnel, or None."""
    fleet = Fleet(answers)
    opened = []

    async def open_all():
        for _ in range(count):
            opened.append(None)
            with anyio.move_on_after(seconds):
                try:
                    opened[-1] = (await fleet.client.open(ENDPOINT)).ip
                except TunnelError:
                    continue

    run_virtual(open_all)
    return fleet, opened


def answers_after(seconds, count, result=TunnelResult.CONNECTED):
    return {f"{result.name}-{number}": (seconds, result) for number in range(count)}


class TestTunnelClient(unittest.TestCase):
    # Issue 32: each daemon was given up after 0.2 s and then taken for cut off, so that
    # none was left while the machine was busy.
    def test_daemons_that_are_all_slow_open_tunnels(self):
        for count in (1, 2, 3, 6):
            with self.subTest(daemons=count):
                _, opened = open_tunnel(answers_after(LATE_SECONDS, count), count=4)
                self.assertNotIn(None, opened)

    def test_late_answer_counts_beside_daemons_that_are_cut_off(self):
        answers = answers_after(0.01, 3, TunnelResult.CUT_OFF)
        answers |= answers_after(LATE_SECONDS, 3)
        _, opened = open_tunnel(answers, count=4)
        self.assertNotIn(None, opened)

    # A daemon that is cut off, and has only this endpoint, takes it for refused.
    def test_tunnel_counts_beside_a_daemon_that_is_refused(self):
        answers = answers_after(0.01, 1, TunnelResult.REFUSED)
        answers |= answers_after(0.1, 1)
        _, opened = open_tunnel(answers)
        self.assertEqual(opened, ["CONNECTED-0"])

    def test_frozen_daemon_is_asked_last_once_another_has_answered(self):
        answers = answers_after(60.0, 1) | {"sound": (0.01, TunnelResult.CONNECTED)}
        fleet = Fleet(answers)
        fleet.client.trusted = "CONNECTED-0"

        async def open_two():
            started = anyio.current_time()
            tunnels = [await fleet.client.open(ENDPOINT) for _ in range(2)]
            return [tunnel.ip for tunnel in tunnels], anyio.current_time() - started

        ips, seconds = run_virtual(open_two)
        self.assertEqual(ips, ["sound", "sound"])
        self.assertLess(seconds, ASK_TIMEOUT_SECONDS + 0.05)
        self.assertEqual(fleet.asked, ["CONNECTED-0", "sound", "sound"])

    def test_tunnels_that_are_not_used_are_closed(self):
        fleet, opened = open_tunnel(answers_after(0.01, 2))
        used = [tunnel for tunnel in fleet.tunnels if not tunnel.closed]
        self.assertEqual([tunnel.ip for tunnel in used], opened)

    # A tunnel that was opened as its request was given up stayed open.
    def test_tunnel_that_is_opened_as_it_is_given_up_is_closed(self):
        fleet, opened = open_tunnel(answers_after(CONNECT_SECONDS, 1))
        self.assertEqual(opened, [None])
        self.assertEqual([t for t in fleet.tunnels if not t.closed], [])

    def test_endpoint_that_two_daemons_do_not_reach_is_gone(self):
        answers = answers_after(0.01, 4, TunnelResult.UNREACHED)
        fleet, opened = open_tunnel(answers, count=3)
        self.assertEqual(opened, 3 * [None])
        self.assertEqual(len(fleet.asked), 2)


if __name__ == "__main__":
    unittest.main()
