import contextlib
import threading
import unittest

import anyio
from click.testing import CliRunner

from currantdyke.cli.main import main
from currantdyke.daemon import serve
from currantdyke.testing.builders import build_settings


@contextlib.contextmanager
def running_daemon():
    """Run a daemon on loopback in a thread; yield the URL of its operator API."""
    state, listening = {}, threading.Event()

    async def run():
        stop = state["stop"] = anyio.Event()

        def on_started(running):
            state["url"] = running.operators_url
            listening.set()

        settings = build_settings(
            callers_port=0, operators_port=0, bundle_file="/nowhere/bundle.yaml"
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch, stop)
            await serve(settings, stop, on_started=on_started)
            tasks.cancel_scope.cancel()

    async def watch(stop):
        while not ended.is_set():
            await anyio.sleep(0.02)
        stop.set()

    ended = threading.Event()
    thread = threading.Thread(target=anyio.run, args=(run,))
    thread.start()
    try:
        assert listening.wait(10.0)
        yield state["url"]
    finally:
        ended.set()
        thread.join(20.0)


class TestReady(unittest.TestCase):
    def test_daemon_without_a_bundle_is_not_ready(self):
        with running_daemon() as url:
            result = CliRunner().invoke(main, ["ready", "--daemon", url])
        self.assertEqual(result.exit_code, 1, result.output)
        self.assertIn("false", result.output)

    def test_unreachable_daemon_exits_3_and_is_reported_by_url(self):
        arguments = ["ready", "--daemon", "http://127.0.0.1:9"]
        result = CliRunner().invoke(main, arguments)
        self.assertEqual(result.exit_code, 3)
        self.assertIn("no answer from http://127.0.0.1:9", result.output)


if __name__ == "__main__":
    unittest.main()
