import unittest

import anyio

from currantdyke.links.tests.builders import PORT, build_entry, build_peers, run_daemons
from currantdyke.testing.gateways import record_lines, run_on_sockets


async def never_respond(link, content):
    await anyio.sleep_forever()


def losses(lines):
    """Return the lines on changes that were not received."""
    return [line for line in lines if line["event"] == "changes_not_received"]


class TestLogOfMissingChanges(unittest.TestCase):
    # Guards against a slow transfer, a busy peer and a dead one that look the same in
    # the log.

    @run_on_sockets
    async def test_daemon_that_refuses_connections_is_logged_once(self):
        asking = build_peers(11, known=[build_entry(12)])
        lines = record_lines(asking.log)
        async with run_daemons(asking):
            for _ in range(3):
                asking.suspects.clear()
                self.assertIsNone(await asking.ask_changes(1))
        (line,) = losses(lines)
        self.assertEqual(line["peer"], build_entry(12).ip)
        self.assertEqual(line["reason"], "no connection")
        self.assertEqual(line["received_bytes"], 0)

    @run_on_sockets
    async def test_busy_daemon_is_logged_as_over_the_time_limit(self):
        asking = build_peers(13, known=[build_entry(14)])
        lines = record_lines(asking.log)
        busy_daemon = build_peers(14, handle_request=never_respond)
        async with run_daemons(asking, busy_daemon):
            self.assertIsNone(await asking.ask_changes(1))
        (line,) = losses(lines)
        self.assertEqual(line["reason"], "time limit")
        self.assertGreaterEqual(line["seconds"], 0.5)

    @run_on_sockets
    async def test_received_part_of_a_lost_response_is_logged(self):
        async def send_part(stream):
            await stream.receive()
            await stream.send((100_000).to_bytes(4, "big") + bytes(5_000))
            await anyio.sleep(0.1)
            await stream.aclose()

        silent = build_entry(16)
        asking = build_peers(15, known=[silent])
        lines = record_lines(asking.log)
        listener = await anyio.create_tcp_listener(
            local_host=silent.ip, local_port=PORT
        )
        async with listener, run_daemons(asking):
            asking.tasks.start_soon(listener.serve, send_part)
            self.assertIsNone(await asking.ask_changes(1))
        (line,) = losses(lines)
        self.assertEqual(line["reason"], "link lost")
        self.assertEqual(line["received_bytes"], 5_004)


class TestSuspicionAfterMissingChanges(unittest.TestCase):
    @run_on_sockets
    async def test_busy_daemon_is_not_suspected(self):
        """Guards against ownership that moves away from a daemon that only is slow."""
        busy = build_entry(18)
        asking = build_peers(17, known=[busy])
        busy_daemon = build_peers(18, handle_request=never_respond)
        async with run_daemons(asking, busy_daemon):
            self.assertIsNone(await asking.ask_changes(1))
        self.assertEqual(asking.others(), [busy])

    @run_on_sockets
    async def test_silent_daemon_is_suspected(self):
        """Guards against a frozen daemon that is taken for a busy one."""

        async def stay_silent(stream):
            await anyio.sleep_forever()

        frozen = build_entry(20)
        asking = build_peers(19, known=[frozen])
        listener = await anyio.create_tcp_listener(
            local_host=frozen.ip, local_port=PORT
        )
        async with listener, run_daemons(asking):
            asking.tasks.start_soon(listener.serve, stay_silent)
            self.assertIsNone(await asking.ask_changes(1))
        self.assertEqual(asking.others(), [])


if __name__ == "__main__":
    unittest.main()
